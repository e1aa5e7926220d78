#include "api/job_cancellation.hpp"

#include <chrono>

#include "api/commit_limit.hpp"
#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::api {

JobCancellationHandler::JobCancellationHandler(leadership::Leadership& leadership,
                                               leadership::Peers& peers,
                                               leadership::CancellationReplication& replication,
                                               state::LeaderState& leader_state,
                                               state::JobWatch& job_watch, JobRecords& records)
    : leadership_(leadership),
      peers_(peers),
      replication_(replication),
      leader_state_(leader_state),
      job_watch_(job_watch),
      records_(records) {}

wire::Response JobCancellationHandler::handle(const std::string& id, agents::RequestOrigin origin) {
    if (!wire::valid_job_id(id))
        return {wire::http_status::not_found, 0, wire::error_body("no such job")};
    if (auto response = records_.from_terminal_cache(id, TaskCounts::omitted)) return *response;
    if (leadership_.status().leading) return cancel_as_leader(id);
    if (origin == agents::RequestOrigin::peer) return wire::unavailable("another controller acts");
    if (auto response =
            leadership::forward_to_leader(wire::peer::Op::cancel, id, {}, leadership_, peers_))
        return *response;
    return wire::unavailable("no controller acts");
}

wire::Response JobCancellationHandler::cancel_as_leader(const std::string& id) {
    if (!leadership_.lease_valid())
        return wire::unavailable("the state service does not answer", 2);
    std::uint64_t term = 0;
    bool known = false;
    {
        const auto access = leader_state_.lock();
        if (access.controller() == nullptr) return wire::unavailable("taking over");
        term = access.controller()->term();
        known = access.controller()->knows(id);
    }
    if (!known)
        if (auto response = adopt_unknown(id, term)) return *response;
    if (!replication_.replicate_cancellation(id, term))
        return wire::unavailable("the other controllers cannot be told");
    if (auto response = cancel_replicated(id, term)) return *response;
    if (auto response = records_.from_terminal_cache(id, TaskCounts::omitted)) return *response;
    // The write of the terminal record may have been executed although its response was lost.
    if (auto response = records_.read_rate_limited(id, TaskCounts::omitted);
        wire::terminal_state_in_status(response.body))
        return response;
    return wire::unavailable("the cancellation could not be recorded in time");
}

std::optional<wire::Response> JobCancellationHandler::adopt_unknown(const std::string& id,
                                                                    std::uint64_t term) {
    auto response = records_.read(id, TaskCounts::omitted);
    if (response.status != wire::http_status::ok || wire::terminal_state_in_status(response.body))
        return response;
    if (!job_watch_.adopt_job(id, term)) return wire::unavailable("the job is not loaded");
    return std::nullopt;
}

std::optional<wire::Response> JobCancellationHandler::cancel_replicated(const std::string& id,
                                                                        std::uint64_t term) {
    auto access = leader_state_.lock();
    auto* const controller = access.controller_for_term(term);
    if (controller == nullptr) return wire::unavailable("taking over");
    // Guards against ran_cancelled: a former leader that reached neither the store nor this
    // controller kept renewing the leases of its agents during an outage, and no controller was
    // left to end those leases. Once enough peers know the new leader, the former one finds no
    // majority to prove its leadership.
    if (controller->may_have_unfenced_tasks(id) && !replication_.acknowledged_by_quorum())
        return wire::unavailable("the other controllers are being told who acts");
    controller->cancel(id, std::chrono::steady_clock::now());
    access.request_placement();  // so that the stop commands are sent at once
    access.request_write();
    access.wait_for_commit(commit_timeout, [&] {
        const auto* const current = access.controller();
        if (current == nullptr || !current->knows(id)) return true;
        const auto status = current->status(id);
        return status && status->terminal_state != core::TerminalState::none;
    });
    return std::nullopt;
}

}  // namespace bendspindle::api
