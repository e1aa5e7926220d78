/// The request to run a job. Idempotent: a repeated submission is answered with the job's state.
///
/// The leader admits the job into the core and waits for its record; a follower, or a leader whose
/// records are being loaded, writes the record itself and the leader adopts it. Called on the HTTP
/// server's threads, any number at once.
#pragma once

#include <string>

#include "api/job_records.hpp"
#include "config/settings.hpp"
#include "leadership/leadership.hpp"
#include "state/job_admission.hpp"
#include "state/leader_state.hpp"
#include "wire/response.hpp"

namespace bendspindle::api {

/// Admits as leader or as follower.
class JobSubmissionHandler {
  public:
    /// All of these outlive it.
    JobSubmissionHandler(const config::Settings& settings, const leadership::Leadership& leadership,
                         state::LeaderState& leader_state, state::JobAdmission& admission,
                         JobRecords& records);

    /// 201 for a new job, 200 for a known one, 400 malformed, 422 for one that can never run, or
    /// 503.
    [[nodiscard]] wire::Response handle(const std::string& body);

  private:
    wire::Response admit_as_leader(const core::JobSpec& spec);
    wire::Response admit_as_follower(const core::JobSpec& spec);
    wire::Response answer_never_fits(const std::string& id);

    const config::Settings& settings_;
    const leadership::Leadership& leadership_;
    state::LeaderState& leader_state_;
    state::JobAdmission& admission_;
    JobRecords& records_;
};

}  // namespace bendspindle::api
