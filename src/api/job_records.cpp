#include "api/job_records.hpp"

#include <utility>

#include "state/keys.hpp"
#include "wire/http_status.hpp"
#include "wire/records.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::api {

namespace {

using Clock = std::chrono::steady_clock;

// The state of an open job that was requested longer ago is read again before it is returned: this
// controller may have been suspended while others returned newer states.
constexpr std::chrono::milliseconds max_state_age{500};

core::JobStatus status_of(core::TerminalState terminal_state) {
    return core::JobStatus{terminal_state, 0, 0};
}

core::JobStatus status_of(const core::JobRecord& record) {
    core::JobStatus status;
    for (const auto& [first, last] : record.done) status.done += last - first + 1;
    return status;
}

}  // namespace

wire::Response status_response(const std::string& id, const core::JobStatus& status,
                               TaskCounts counts) {
    return {wire::http_status::ok, 0,
            wire::status_body(id, status, counts == TaskCounts::included)};
}

bool may_be_outdated(const wire::Response& response, Clock::time_point requested_at) {
    if (Clock::now() - requested_at <= max_state_age) return false;
    if (response.status == wire::http_status::not_found) return true;
    return response.status == wire::http_status::ok &&
           !wire::terminal_state_in_status(response.body);
}

JobRecords::JobRecords(state::KeyValueStore& store, state::TerminalStateCache& terminal_states,
                       TokenBucket poll_limit)
    : store_(store), terminal_states_(terminal_states), poll_limit_(poll_limit) {}

std::optional<wire::Response> JobRecords::from_terminal_cache(const std::string& id,
                                                              TaskCounts counts) const {
    const auto terminal_state = terminal_states_.get(id);
    if (!terminal_state) return std::nullopt;
    return status_response(id, status_of(*terminal_state), counts);
}

void JobRecords::cache_terminal_state(const std::string& id, const wire::Response& response) {
    if (const auto terminal_state = wire::terminal_state_in_status(response.body))
        terminal_states_.put(id, *terminal_state);
}

// Guards against losing leases under a flood of polls: without a leader each poll reads records,
// and the store refused lease renewals and writes along with the reads.
wire::Response JobRecords::read_rate_limited(const std::string& id, TaskCounts counts) {
    {
        const std::lock_guard lock(poll_limit_mutex_);
        if (!poll_limit_.try_take(Clock::now()))
            return wire::unavailable("too many questions at once");
    }
    return read(id, counts);
}

wire::Response JobRecords::read_open_job_rate_limited(const std::string& id, TaskCounts counts) {
    auto response = read_rate_limited(id, counts);
    return response.status == wire::http_status::not_found
               ? wire::unavailable("the job is being recorded")
               : response;
}

wire::Response JobRecords::read(const std::string& id, TaskCounts counts) {
    const auto requested_at = Clock::now();
    auto response = read_once(id, counts);
    return may_be_outdated(response, requested_at) ? read_once(id, counts) : response;
}

// Reads the open record first, so that the second read finds a job that ends between the two.
wire::Response JobRecords::read_once(const std::string& id, TaskCounts counts) {
    const auto open = store_.get(state::keys::job(id));
    if (open.outcome == state::StoreStatus::absent) return read_terminal_record(id, counts);
    if (open.outcome != state::StoreStatus::ok)
        return wire::unavailable("the state service does not answer");
    const auto record = wire::parse_job_record(open.entry.value);
    if (!record) return wire::unavailable("the record cannot be read");
    return status_response(id, status_of(*record), counts);
}

wire::Response JobRecords::read_terminal_record(const std::string& id, TaskCounts counts) {
    const auto terminal = store_.get(state::keys::ended_job(id));
    if (terminal.outcome == state::StoreStatus::absent)
        return {wire::http_status::not_found, 0, wire::error_body("no such job")};
    if (terminal.outcome != state::StoreStatus::ok)
        return wire::unavailable("the state service does not answer");
    const auto terminal_state = wire::parse_terminal_record(terminal.entry.value);
    if (!terminal_state) return wire::unavailable("the record cannot be read");
    terminal_states_.put(id, *terminal_state);
    return status_response(id, status_of(*terminal_state), counts);
}

}  // namespace bendspindle::api
