/// The handler of requests to run a job. Idempotent: the response to a repeated submission contains
/// the job's state.
///
/// The leader admits the job into the core and waits until its record is committed. A follower, or
/// a leader whose records are being loaded, writes the record itself and the leader adopts the job.
/// Called concurrently on the threads of the HTTP server.
#pragma once

#include <string>

#include "api/job_records.hpp"
#include "config/settings.hpp"
#include "leadership/leadership.hpp"
#include "state/job_admission.hpp"
#include "state/leader_state.hpp"
#include "wire/response.hpp"

namespace bendspindle::api {

/// A handler that admits jobs on the leader and on followers.
class JobSubmissionHandler {
  public:
    /// The referenced objects must outlive the handler.
    JobSubmissionHandler(const config::Settings& settings, const leadership::Leadership& leadership,
                         state::LeaderState& leader_state, state::JobAdmission& admission,
                         JobRecords& records);

    /// The response for a job that is not accepted.
    struct Refusal {
        int status;
        const char* reason;
    };

    /// Returns 201 for a new job, 200 for a known one, 400 for a malformed request or a job that
    /// cannot be recorded, 422 for a job that can never run, or 503.
    [[nodiscard]] wire::Response handle(const std::string& body);

  private:
    wire::Response admit_as_leader(const core::JobSpec& spec);
    wire::Response admit_as_follower(const core::JobSpec& spec);
    wire::Response answer_unless_recorded(const std::string& id, const Refusal& refusal);

    const config::Settings& settings_;
    const leadership::Leadership& leadership_;
    state::LeaderState& leader_state_;
    state::JobAdmission& admission_;
    JobRecords& records_;
};

}  // namespace bendspindle::api
