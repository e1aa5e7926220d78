#include "api/job_status.hpp"

#include <chrono>

#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::api {

JobStatusHandler::JobStatusHandler(leadership::Leadership& leadership, leadership::Peers& peers,
                                   state::LeaderState& leader_state, JobRecords& records)
    : leadership_(leadership), peers_(peers), leader_state_(leader_state), records_(records) {}

wire::Response JobStatusHandler::handle(const std::string& id, agents::RequestOrigin origin) {
    if (!wire::valid_job_id(id))
        return {wire::http_status::not_found, 0, wire::error_body("no such job")};
    if (auto response = records_.from_terminal_cache(id, TaskCounts::included)) return *response;
    if (leadership_.status().leading) return answer_as_leader(id);
    if (origin == agents::RequestOrigin::peer) return wire::unavailable("another controller acts");
    return answer_as_follower(id);
}

wire::Response JobStatusHandler::answer_as_leader(const std::string& id) {
    bool known = false;
    {
        const auto access = leader_state_.lock();
        const auto* const controller = access.controller();
        // Without a valid lease another controller may already have returned a newer state. The
        // lease is checked after the wait for the lock, not before: nothing blocks between this
        // check and the response.
        if (controller != nullptr && leadership_.lease_valid()) {
            if (const auto status = controller->status(id))
                return status_response(id, *status, TaskCounts::included);
            known = controller->knows(id);
        }
    }
    return known ? records_.read_open_job_rate_limited(id, TaskCounts::included)
                 : records_.read_rate_limited(id, TaskCounts::included);
}

wire::Response JobStatusHandler::answer_as_follower(const std::string& id) {
    const auto requested_at = std::chrono::steady_clock::now();
    auto response =
        leadership::forward_to_leader(wire::peer::Op::status, id, {}, leadership_, peers_);
    if (!response || response->status == wire::http_status::service_unavailable ||
        may_be_outdated(*response, requested_at))
        return records_.read_rate_limited(id, TaskCounts::included);
    // The next request to this controller needs no other process.
    records_.cache_terminal_state(id, *response);
    return *response;
}

}  // namespace bendspindle::api
