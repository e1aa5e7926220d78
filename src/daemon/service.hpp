// One controller: routes what users and workers ask to whoever acts, and acts when it is its turn.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "agents/agent_command_client.hpp"
#include "agents/heartbeat_handler.hpp"
#include "api/token_bucket.hpp"
#include "cloud/cloud_client.hpp"
#include "config/settings.hpp"
#include "io/http_server.hpp"
#include "io/peer_link.hpp"
#include "leadership/cancellation_replication.hpp"
#include "leadership/leader_elector.hpp"
#include "leadership/peers.hpp"
#include "state/job_admission.hpp"
#include "state/key_value_store.hpp"
#include "state/leader_state.hpp"
#include "state/state_writer.hpp"
#include "wire/response.hpp"

namespace bendspindle::daemon {

class Service {
  public:
    Service(config::Settings settings, config::OperatorSettings own);
    // Serves until it is asked to stop (`stop_asked`), and ends the process then. False: an address
    // could not be bound.
    bool run();

  private:
    using Clock = std::chrono::steady_clock;

    // Users.
    wire::Response submit(const std::string& body);
    wire::Response accept_elsewhere(const core::JobSpec& spec);
    wire::Response status(const std::string& id, agents::RequestOrigin from);
    wire::Response cancel(const std::string& id, agents::RequestOrigin from);
    std::optional<wire::Response> from_terminal_cache(const std::string& id, bool with_counts);
    wire::Response from_records(const std::string& id, bool with_counts);
    wire::Response read_records(const std::string& id, bool with_counts);
    wire::Response poll_records(const std::string& id, bool with_counts);
    wire::Response known_by_records(const std::string& id, bool with_counts);
    template <typename Ready>
    bool wait_recorded(std::unique_lock<std::mutex>& lock, Ready ready);

    wire::Response answer_cancellation_snapshot(const std::string& peer);

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

    config::Settings settings_;
    config::OperatorSettings own_;
    state::HttpKeyValueStore store_;
    state::LeaderState leader_state_;
    state::TerminalStateCache terminal_states_;
    leadership::LeaderElector elector_;
    leadership::Peers peers_;
    leadership::CancellationReplication replication_;
    state::StateWriter state_writer_;
    state::JobAdmission job_admission_;
    cloud::CloudClient cloud_;
    agents::AgentCommandClient agent_commands_;
    agents::HeartbeatHandler heartbeats_;
    std::mutex reads_mutex_;
    api::TokenBucket poll_reads_;
    // When the acting controller last said that it acts.
    std::atomic<Clock::time_point> leader_heard_at_{Clock::time_point{}};
};

}  // namespace bendspindle::daemon
