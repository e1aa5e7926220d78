/// Answers the requests of other controllers: what they forward, what the leader announces, and the
/// replication of cancellations. Called by the peer server, on a thread for each connection.
#pragma once

#include <string>

#include "agents/heartbeat_handler.hpp"
#include "api/health.hpp"
#include "api/job_cancellation.hpp"
#include "api/job_status.hpp"
#include "leadership/cancellation_replication.hpp"
#include "leadership/leadership.hpp"
#include "leadership/peers.hpp"
#include "state/leader_state.hpp"
#include "wire/peer.hpp"
#include "wire/response.hpp"

namespace bendspindle::api {

/// The handlers that peer requests go to. All of these outlive it.
struct PeerRequestHandlers {
    JobStatusHandler& status;
    JobCancellationHandler& cancellation;
    agents::HeartbeatHandler& heartbeats;
    Health& health;
};

/// Dispatches by operation; each answer bears the term known here.
class PeerRequests {
  public:
    /// All of these outlive it.
    PeerRequests(PeerRequestHandlers handlers, leadership::Leadership& leadership,
                 leadership::Peers& peers, leadership::CancellationReplication& replication,
                 state::LeaderState& leader_state);

    /// Blocks as long as the handler of the operation does.
    [[nodiscard]] wire::peer::Answer handle(const wire::peer::Request& request);

  private:
    wire::Response dispatch(const wire::peer::Request& request);
    wire::Response leader_announcement(const wire::peer::Request& request);
    wire::Response cancellation_snapshot(const std::string& peer);

    PeerRequestHandlers handlers_;
    leadership::Leadership& leadership_;
    leadership::Peers& peers_;
    leadership::CancellationReplication& replication_;
    state::LeaderState& leader_state_;
};

}  // namespace bendspindle::api
