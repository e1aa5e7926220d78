// One controller: routes what users and workers ask to whoever acts, and acts when it is its turn.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "app/acceptor.hpp"
#include "app/allowance.hpp"
#include "app/cancellation_replication.hpp"
#include "app/cloud_desk.hpp"
#include "app/courier.hpp"
#include "app/membership.hpp"
#include "app/office.hpp"
#include "app/peers.hpp"
#include "app/recorder.hpp"
#include "app/reply.hpp"
#include "app/report_desk.hpp"
#include "app/settings.hpp"
#include "app/state_store.hpp"
#include "io/http_server.hpp"
#include "io/peer_link.hpp"

namespace bendspindle::app {

class Service {
  public:
    Service(Settings settings, OperatorSettings own);
    // Serves until it is asked to stop (`stop_asked`), and ends the process then. False: an address
    // could not be bound.
    bool run();

  private:
    using Clock = std::chrono::steady_clock;

    // Users.
    Response submit(const std::string& body);
    Response accept_elsewhere(const core::JobSpec& spec);
    Response status(const std::string& id, RequestOrigin from);
    Response cancel(const std::string& id, RequestOrigin from);
    std::optional<Response> from_terminal_cache(const std::string& id, bool with_counts);
    Response from_records(const std::string& id, bool with_counts);
    Response read_records(const std::string& id, bool with_counts);
    Response poll_records(const std::string& id, bool with_counts);
    Response known_by_records(const std::string& id, bool with_counts);
    template <typename Ready>
    bool wait_recorded(std::unique_lock<std::mutex>& lock, Ready ready);

    Response answer_cancellation_snapshot(const std::string& peer);

    bool healthy() const;
    wire::peer::Answer answer_peer(const wire::peer::Request& request);

    void take_over(std::uint64_t term, std::uint64_t leader_key_revision);
    // The revision up to which records were read, if they were.
    std::optional<std::uint64_t> load(core::Controller& controller);
    void learn();
    void adopt_jobs(const std::vector<wire::Entry>& entries, std::uint64_t revision,
                    std::uint64_t term);
    bool adopt_job(const std::string& id, std::uint64_t term);
    void on_deposed();
    void place();
    static void tell_starts(core::Controller& controller);
    void announce();
    void yield_if_unreachable();
    void stop_when_asked(io::HttpServer& http);

    Settings settings_;
    OperatorSettings own_;
    HttpKeyValueStore store_;
    LeaderState leader_state_;
    TerminalStateCache terminal_states_;
    LeaderElector elector_;
    Peers peers_;
    CancellationReplication replication_;
    StateWriter state_writer_;
    JobAdmission job_admission_;
    CloudClient cloud_;
    AgentCommandClient agent_commands_;
    HeartbeatHandler heartbeats_;
    std::mutex reads_mutex_;
    TokenBucket poll_reads_;
    // When the acting controller last said that it acts.
    std::atomic<Clock::time_point> leader_heard_at_{Clock::time_point{}};
};

}  // namespace bendspindle::app
