/// Codecs of the requests of users and their responses: job submission, status and cancellation.
/// Used by the API handlers and by the command line; user_messages.cpp lists the field names on the
/// wire and the corresponding terms in the code.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/cluster/job_table.hpp"
#include "core/model/types.hpp"
#include "wire/job_spec.hpp"

namespace bendspindle::wire {

namespace path {
inline constexpr const char* jobs = "/work";
inline constexpr const char* health = "/healthz";
}  // namespace path

/// The job, or the error if the request is malformed.
struct ParsedJob {
    std::optional<core::JobSpec> job;
    std::string error;
};
ParsedJob parse_job(std::string_view body);
/// Returns the body of a job submission.
std::string job_body(const core::JobSpec& spec);
/// Returns the body of a status response. `with_counts` is false if only the state is known; the
/// task counts are then omitted.
std::string status_body(const std::string& id, const core::JobStatus& status, bool with_counts);
/// Returns the terminal state in the body of a status response; nullopt if the job is open or the
/// body is malformed.
std::optional<core::TerminalState> terminal_state_in_status(std::string_view body);
/// Returns the body of an error response, for users and for agents.
std::string error_body(const std::string& reason);

}  // namespace bendspindle::wire
