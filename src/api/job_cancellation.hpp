/// The handler of requests to cancel a job.
///
/// A cancellation is confirmed only once enough peers know of it and its terminal record is
/// committed: from then on the job's tasks end whichever controller fails (docs/failure-modes.md,
/// "What a confirmed cancellation needs"). A follower forwards the request to the leader. Called
/// concurrently on the threads of the HTTP server and of the peer server.
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

/// A handler that cancels jobs on the leader and forwards requests on a follower.
class JobCancellationHandler {
  public:
    /// The referenced objects must outlive the handler.
    JobCancellationHandler(leadership::Leadership& leadership, leadership::Peers& peers,
                           leadership::CancellationReplication& replication,
                           state::LeaderState& leader_state, state::JobWatch& job_watch,
                           JobRecords& records);

    /// Returns 200 with the job's terminal state, which may be another one than cancelled, 404 if
    /// there is no such job, or 503. A request that a peer has forwarded is not forwarded again.
    [[nodiscard]] wire::Response handle(const std::string& id, agents::RequestOrigin origin);

  private:
    wire::Response cancel_as_leader(const std::string& id);
    /// Returns nothing if the leader knows the job afterwards.
    std::optional<wire::Response> adopt_unknown(const std::string& id, std::uint64_t term);
    /// Returns nothing after the core has cancelled the job and the wait for its record is over.
    std::optional<wire::Response> cancel_replicated(const std::string& id, std::uint64_t term);

    leadership::Leadership& leadership_;
    leadership::Peers& peers_;
    leadership::CancellationReplication& replication_;
    state::LeaderState& leader_state_;
    state::JobWatch& job_watch_;
    JobRecords& records_;
};

}  // namespace bendspindle::api
