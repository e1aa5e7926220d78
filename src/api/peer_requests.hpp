/// Answers the requests of other controllers: forwarded user and agent requests, announcements of
/// the leader and the replication of cancellations. Called by the peer server, which has one thread
/// per connection.
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

/// The handlers of the forwarded requests. The referenced objects must outlive the struct.
struct PeerRequestHandlers {
    JobStatusHandler& status;
    JobCancellationHandler& cancellation;
    agents::HeartbeatHandler& heartbeats;
    Health& health;
};

/// A dispatcher of peer requests by operation. Each answer contains the term known to this
/// controller.
class PeerRequests {
  public:
    /// The referenced objects must outlive the dispatcher.
    PeerRequests(PeerRequestHandlers handlers, leadership::Leadership& leadership,
                 leadership::Peers& peers, leadership::CancellationReplication& replication,
                 state::LeaderState& leader_state);

    /// Answers a request. Blocks for as long as the handler of its operation does.
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
