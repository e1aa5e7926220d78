/// Requests of users and their answers: submitting a job, asking for its status, cancelling it.
/// Called by the API's handlers and by the command line; the map from the wire's fields to the
/// code's terms is in user_messages.cpp.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/cluster/job_table.hpp"
#include "core/model/types.hpp"
#include "wire/job_spec.hpp"

namespace bendspindle::wire {

namespace path {
inline constexpr const char* work = "/work";
inline constexpr const char* health = "/healthz";
}  // namespace path

/// The job, or the reason why the request is malformed.
struct ParsedJob {
    std::optional<core::JobSpec> job;
    std::string error;
};
ParsedJob parse_job(std::string_view body);
/// The body of a submission.
std::string job_body(const core::JobSpec& spec);
/// The counts of tasks are left out where only the state is known.
std::string status_body(const std::string& id, const core::JobStatus& status, bool with_counts);
/// The terminal state in such a body; nullopt if the job is open or the body malformed.
std::optional<core::TerminalState> terminal_state_in_status(std::string_view body);
/// Why a request was refused: the body of every error, also of those that agents get.
std::string error_body(const std::string& why);

}  // namespace bendspindle::wire
