/// The request to cancel a job.
///
/// Confirmed only once enough peers know of the cancellation and its terminal record is committed:
/// from then on the job's tasks end whichever controller is lost (docs/failure-modes.md, "What a
/// confirmed cancellation needs"). A follower forwards to the leader. Called on the threads of the
/// HTTP server and of the peer server, any number at once.
#pragma once

#include <optional>
#include <string>

#include "agents/heartbeat_handler.hpp"
#include "api/job_records.hpp"
#include "leadership/cancellation_replication.hpp"
#include "leadership/leadership.hpp"
#include "leadership/peers.hpp"
#include "state/job_watch.hpp"
#include "state/leader_state.hpp"
#include "wire/response.hpp"

namespace bendspindle::api {

/// Cancels as leader, forwards as follower.
class JobCancellationHandler {
  public:
    /// All of these outlive it.
    JobCancellationHandler(leadership::Leadership& leadership, leadership::Peers& peers,
                           leadership::CancellationReplication& replication,
                           state::LeaderState& leader_state, state::JobWatch& job_watch,
                           JobRecords& records);

    /// 200 with the terminal state, which need not be cancelled; 404 for no such job, or 503. What
    /// a peer forwards is not forwarded again.
    [[nodiscard]] wire::Response handle(const std::string& id, agents::RequestOrigin origin);

  private:
    wire::Response cancel_as_leader(const std::string& id);
    /// None: the leader knows the job now.
    std::optional<wire::Response> adopt_unknown(const std::string& id, std::uint64_t term);
    /// None: the core has cancelled it, and its record was waited for.
    std::optional<wire::Response> cancel_replicated(const std::string& id, std::uint64_t term);

    leadership::Leadership& leadership_;
    leadership::Peers& peers_;
    leadership::CancellationReplication& replication_;
    state::LeaderState& leader_state_;
    state::JobWatch& job_watch_;
    JobRecords& records_;
};

}  // namespace bendspindle::api
