#include "daemon/service.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

#include "daemon/http_routes.hpp"
#include "daemon/shutdown.hpp"
#include "daemon/stop_signal.hpp"
#include "io/log.hpp"
#include "leadership/peer_sockets.hpp"

namespace bendspindle::daemon {

namespace {

// Of the requests that the key-value store takes, for reading what users poll.
constexpr double share_for_polls = 0.85;
// About a lease without a leader, at a usual load.
constexpr std::chrono::seconds poll_burst{2};

// All controllers share what the store takes.
api::TokenBucket poll_budget(const config::Settings& settings) {
    const auto controllers = static_cast<double>(settings.peers.size() + 1);
    const auto per_second = settings.state_limits.requests_per_s * share_for_polls / controllers;
    return {std::max(per_second, 1.0), poll_burst};
}

io::HttpServerLimits http_limits(const config::Settings& settings,
                                 const config::OperatorSettings& own) {
    io::HttpServerLimits limits;
    limits.max_threads = config::max_connections(settings, own);
    limits.max_waiting = config::max_waiting_connections(settings, limits.max_threads);
    return limits;
}

// Detached: the threads wait in calls and for work, and use parts that destructors would take
// away. They end with the process, by _Exit (`stop_when_asked`), without destructors.
template <typename Body>
void start_detached(Body body) {
    std::thread(std::move(body)).detach();
}

}  // namespace

Service::Service(config::Settings settings, config::OperatorSettings own)
    : settings_(std::move(settings)),
      own_(std::move(own)),
      store_(settings_.state),
      terminal_states_(own_.max_cached_terminal_states),
      elector_(store_, settings_.name, own_.leader_lease,
               {[this](std::uint64_t term, std::uint64_t leader_key_revision) {
                    failover_.on_elected(term, leader_key_revision);
                },
                [this] { failover_.on_deposed(); }}),
      peers_(leadership::peer_names(settings_), leadership::socket_link(settings_)),
      replication_(settings_.name, settings_.agent_timings, elector_, peers_),
      state_writer_(leader_state_, store_, terminal_states_, settings_.state_limits),
      job_admission_(store_, settings_.state_limits),
      job_watch_(store_, leader_state_, [this] { return elector_.lease_valid(); }),
      cloud_(leader_state_, settings_, [this] { return elector_.lease_valid(); }),
      agent_commands_(leader_state_),
      heartbeats_(settings_.agent_timings, leader_state_, elector_, peers_, replication_),
      failover_(settings_, own_, store_, leader_state_, elector_, replication_, heartbeats_),
      placement_loop_(own_.cycle, leader_state_, elector_, replication_, agent_commands_),
      announcements_(elector_, replication_, heartbeats_),
      job_records_(store_, terminal_states_, poll_budget(settings_)),
      job_submission_(settings_, elector_, leader_state_, job_admission_, job_records_),
      job_status_(elector_, peers_, leader_state_, job_records_),
      job_cancellation_(elector_, peers_, replication_, leader_state_, job_watch_, job_records_),
      health_(leader_state_, store_, peers_),
      peer_requests_({job_status_, job_cancellation_, heartbeats_, health_}, elector_, peers_,
                     replication_, leader_state_) {}

bool Service::run() {
    io::HttpServer http(http_limits(settings_, own_));
    add_routes(http, {job_submission_, job_status_, job_cancellation_, heartbeats_, health_});
    io::PeerServer peer_server(
        [this](const auto& request) { return peer_requests_.handle(request); },
        [](const auto& reason) { io::log::info("peer_refused", "cause", reason); });
    if (!http.bind(settings_.listen.host, settings_.listen.port)) {
        io::log::error("bind_failed", "setting", "listen");
        return false;
    }
    if (!peer_server.bind(settings_.internal)) {
        io::log::error("bind_failed", "setting", "internal_addr");
        return false;
    }
    start_threads(peer_server);
    // Last of all: it takes the signals to stop.
    std::thread stopper([this, &http] { stop_when_asked(http, elector_); });
    io::log::info("serving", "controller", settings_.name);
    http.listen_after_bind();
    if (stop_asked()) stopper.join();  // and with it the process
    io::log::error("listening_socket_failed");
    std::_Exit(1);
}

// Started in this order, each by its part's owner; none waits for another. Which part has which
// thread, and what ends a wait of it:
//   cloud_           one: catalog, machine list, scale-out and release; its own pace
//   elector_         two: the lease and the election, and the watch of the leader key
//   state_writer_    one: commits records; a request to write
//   job_admission_   one: commits first records as follower; an admitted job
//   job_watch_       one: the watch of open jobs
//   placement_loop_  one: placement cycles; a request for placement
//   announcements_   one: each second
//   agent_commands_  several: direct commands; a command to send
//   peer_server      one that accepts, and one for each connection of a peer
// Besides these: the HTTP server's threads, which grow with its connections, the thread that loads
// the records of a new leader (`Failover`), and the one that stops the process (`run`).
void Service::start_threads(io::PeerServer& peer_server) {
    start_detached([this] { cloud_.run(); });
    start_detached([this] { elector_.run(); });
    start_detached([this] { elector_.watch(); });
    start_detached([this] { state_writer_.run(); });
    start_detached([this] { job_admission_.run(); });
    start_detached([this] { job_watch_.run(); });
    start_detached([this] { placement_loop_.run(); });
    start_detached([this] { announcements_.run(); });
    agent_commands_.start();
    start_detached([&peer_server] { peer_server.run(); });
}

}  // namespace bendspindle::daemon
