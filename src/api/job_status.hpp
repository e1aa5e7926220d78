/// The handler of requests for a job's status.
///
/// The leader answers from memory while its lease is valid; a follower forwards the request to the
/// leader and reads the records if the leader does not answer. No response is older than one that
/// any controller returned before (read consistency). Called concurrently on the threads of the
/// HTTP server and of the peer server.
#pragma once

#include <string>

#include "agents/heartbeat_handler.hpp"
#include "api/job_records.hpp"
#include "leadership/leadership.hpp"
#include "leadership/peers.hpp"
#include "state/leader_state.hpp"
#include "wire/response.hpp"

namespace bendspindle::api {

/// A handler that answers on the leader and forwards requests on a follower.
class JobStatusHandler {
  public:
    /// The referenced objects must outlive the handler.
    JobStatusHandler(leadership::Leadership& leadership, leadership::Peers& peers,
                     state::LeaderState& leader_state, JobRecords& records);

    /// Returns 200 with the job's status, 404 if there is no such job, or 503. A request that a
    /// peer has forwarded is not forwarded again.
    [[nodiscard]] wire::Response handle(const std::string& id, agents::RequestOrigin origin);

  private:
    wire::Response answer_as_leader(const std::string& id);
    wire::Response answer_as_follower(const std::string& id);

    leadership::Leadership& leadership_;
    leadership::Peers& peers_;
    state::LeaderState& leader_state_;
    JobRecords& records_;
};

}  // namespace bendspindle::api
