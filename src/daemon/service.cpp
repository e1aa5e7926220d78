#include "daemon/service.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

#include "daemon/http_routes.hpp"
#include "daemon/shutdown.hpp"
#include "daemon/stop_signal.hpp"
#include "io/crash_report.hpp"
#include "io/log.hpp"
#include "leadership/peer_sockets.hpp"

namespace bendspindle::daemon {

namespace {

// Share of the request limit of the key-value store that may be used to answer status polls of
// users.
constexpr double status_poll_share = 0.85;
// Covers the time of about one leader lease without a leader, at a typical load.
constexpr std::chrono::seconds poll_burst{2};

// Returns this controller's share of the status poll budget; all controllers share the request
// limit of the key-value store.
api::TokenBucket poll_budget(const config::Settings& settings) {
    const auto controllers = static_cast<double>(settings.peers.size() + 1);
    const auto per_second = settings.state_limits.requests_per_s * status_poll_share / controllers;
    return {std::max(per_second, 1.0), poll_burst};
}

io::HttpServerLimits http_limits(const config::Settings& settings,
                                 const config::OperatorSettings& operator_settings) {
    io::HttpServerLimits limits;
    limits.max_threads = config::max_connections(settings, operator_settings);
    limits.max_waiting = config::max_waiting_connections(settings, limits.max_threads);
    return limits;
}

// Starts a detached thread. These threads block in calls or wait for work and use members that
// destructors would invalidate, so they are never joined: the process ends by _Exit, without
// running destructors (`shut_down_on_signal`).
template <typename Body>
void start_detached(Body body) {
    std::thread([body = std::move(body)]() mutable {
        const io::SignalStack signal_stack;
        body();
    }).detach();
}

}  // namespace

Service::Service(config::Settings settings, config::OperatorSettings operator_settings)
    : settings_(std::move(settings)),
      operator_settings_(std::move(operator_settings)),
      store_(settings_.state),
      terminal_states_(operator_settings_.max_cached_terminal_states),
      elector_(store_, settings_.name, operator_settings_.leader_lease,
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
      failover_(settings_, operator_settings_, store_, leader_state_, elector_, replication_,
                heartbeats_),
      placement_loop_(operator_settings_.cycle, leader_state_, elector_, replication_,
                      agent_commands_),
      announcements_(elector_, replication_, heartbeats_),
      job_records_(store_, terminal_states_, poll_budget(settings_)),
      job_submission_(settings_, elector_, leader_state_, job_admission_, job_records_),
      job_status_(elector_, peers_, leader_state_, job_records_),
      job_cancellation_(elector_, peers_, replication_, leader_state_, job_watch_, job_records_),
      health_(leader_state_, store_, peers_),
      peer_requests_({job_status_, job_cancellation_, heartbeats_, health_}, elector_, peers_,
                     replication_, leader_state_) {}

bool Service::run() {
    const HttpHandlers handlers{job_submission_, job_status_, job_cancellation_, heartbeats_,
                                health_};
    io::HttpServer http(http_limits(settings_, operator_settings_),
                        [handlers](const auto& request) { return route(handlers, request); });
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
    // Started last, because this thread receives the stop signals.
    std::thread stopper([this, &http] { shut_down_on_signal(http, elector_); });
    io::log::info("serving", "controller", settings_.name);
    http.listen_after_bind();
    if (stop_requested()) stopper.join();  // does not return: the thread ends the process
    io::log::error("listening_socket_failed");
    std::_Exit(1);
}

// Starts the threads of all components, in this order; none of them waits for another to start. The
// threads of each component, and what wakes them:
//   cloud_           1 thread: catalog, machine list, scale-out and release; wakes periodically
//   elector_         2 threads: the lease and the election; the watch of the leader key
//   state_writer_    1 thread: commits records; woken by a write request
//   job_admission_   1 thread: commits the first records of jobs on a follower; woken by an
//                    admitted job
//   job_watch_       1 thread: the watch of open jobs
//   placement_loop_  1 thread: placement cycles; woken by a placement request
//   announcements_   1 thread: wakes every second
//   agent_commands_  several threads: direct commands; woken by a command to send
//   peer_server      1 thread that accepts, and 1 thread for each connection of a peer
// Further threads: those of the HTTP server, whose number grows with its connections, the thread
// that loads the records after an election (`Failover`), and the thread that shuts the process down
// (`run`).
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
