/// The request for a job's status.
///
/// The leader answers from memory while its lease is valid; a follower forwards to the leader, and
/// reads the records if that one does not answer. No answer is older than one that was given before
/// by any controller (read consistency). Called on the threads of the HTTP server and of the peer
/// server, any number at once.
#pragma once

#include <string>

#include "agents/heartbeat_handler.hpp"
#include "api/job_records.hpp"
#include "leadership/leadership.hpp"
#include "leadership/peers.hpp"
#include "state/leader_state.hpp"
#include "wire/response.hpp"

namespace bendspindle::api {

/// Answers as leader, forwards as follower.
class JobStatusHandler {
  public:
    /// All of these outlive it.
    JobStatusHandler(leadership::Leadership& leadership, leadership::Peers& peers,
                     state::LeaderState& leader_state, JobRecords& records);

    /// 200, 404 for no such job, or 503. What a peer forwards is not forwarded again.
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
