// Field names on the wire and the corresponding terms in the code (job_spec.cpp lists those of job
// specifications):
//   uid              job id
//   stage            state: queued, running; terminal: done, aborted = cancelled
//   done, running    number of completed tasks, of running tasks
#include "wire/user_messages.hpp"

#include "wire/fields.hpp"

namespace bendspindle::wire {

namespace {

constexpr const char* stage_queued = "queued";
constexpr const char* stage_running = "running";
constexpr const char* stage_done = "done";
constexpr const char* stage_cancelled = "aborted";

const char* stage_of(const core::JobStatus& status) {
    if (status.terminal_state == core::TerminalState::done) return stage_done;
    if (status.terminal_state == core::TerminalState::cancelled) return stage_cancelled;
    return status.running > 0 ? stage_running : stage_queued;
}

}  // namespace

ParsedJob parse_job(std::string_view body) {
    try {
        return {read_job_spec(parse_map(body)), {}};
    } catch (const Malformed& malformed) {
        return {std::nullopt, malformed.what()};
    }
}

std::string job_body(const core::JobSpec& spec) {
    return to_cbor(job_spec_value(spec));
}

std::string status_body(const std::string& id, const core::JobStatus& status, bool with_counts) {
    Value map{{"uid", id}, {"stage", stage_of(status)}};
    if (with_counts) {
        map["done"] = status.done;
        map["running"] = status.running;
    }
    return to_cbor(map);
}

std::optional<core::TerminalState> terminal_state_in_status(std::string_view body) {
    const auto parsed = parse_cbor(body);
    if (!parsed || !parsed->is_object()) return std::nullopt;
    const auto stage = parsed->find("stage");
    if (stage == parsed->end() || !stage->is_string()) return std::nullopt;
    if (*stage == stage_done) return core::TerminalState::done;
    if (*stage == stage_cancelled) return core::TerminalState::cancelled;
    return std::nullopt;
}

std::string error_body(const std::string& reason) {
    return to_cbor(Value{{"error", reason}});
}

}  // namespace bendspindle::wire
