/// One controller: its components, their dependencies and the threads they run on.
///
/// Followers forward requests of users and agents to the leader; the leader schedules. The header
/// of each component documents its responsibility; this class only connects and starts them.
#pragma once

#include "agents/agent_command_client.hpp"
#include "agents/heartbeat_handler.hpp"
#include "api/health.hpp"
#include "api/job_cancellation.hpp"
#include "api/job_records.hpp"
#include "api/job_status.hpp"
#include "api/job_submission.hpp"
#include "api/peer_requests.hpp"
#include "cloud/cloud_client.hpp"
#include "config/settings.hpp"
#include "daemon/announcements.hpp"
#include "daemon/failover.hpp"
#include "daemon/placement_loop.hpp"
#include "io/http_server.hpp"
#include "io/peer_link.hpp"
#include "leadership/cancellation_replication.hpp"
#include "leadership/leader_elector.hpp"
#include "leadership/peers.hpp"
#include "state/http_key_value_store.hpp"
#include "state/job_admission.hpp"
#include "state/job_watch.hpp"
#include "state/leader_state.hpp"
#include "state/state_writer.hpp"
#include "state/terminal_state_cache.hpp"

namespace bendspindle::daemon {

/// Owns all components of a controller. Lives until the process exits.
class Service {
  public:
    Service(config::Settings settings, config::OperatorSettings operator_settings);
    /// Serves until a stop is requested (`stop_requested`) and then exits the process. Returns only
    /// if an address could not be bound, with false.
    [[nodiscard]] bool run();

  private:
    void start_threads(io::PeerServer& peer_server);

    const config::Settings settings_;
    const config::OperatorSettings operator_settings_;
    state::HttpKeyValueStore store_;
    state::LeaderState leader_state_;
    state::TerminalStateCache terminal_states_;
    leadership::LeaderElector elector_;
    leadership::Peers peers_;
    leadership::CancellationReplication replication_;
    state::StateWriter state_writer_;
    state::JobAdmission job_admission_;
    state::JobWatch job_watch_;
    cloud::CloudClient cloud_;
    agents::AgentCommandClient agent_commands_;
    agents::HeartbeatHandler heartbeats_;
    Failover failover_;
    PlacementLoop placement_loop_;
    Announcements announcements_;
    api::JobRecords job_records_;
    api::JobSubmissionHandler job_submission_;
    api::JobStatusHandler job_status_;
    api::JobCancellationHandler job_cancellation_;
    api::Health health_;
    api::PeerRequests peer_requests_;
};

}  // namespace bendspindle::daemon
