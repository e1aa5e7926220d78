#include "agents/heartbeat_handler.hpp"

#include <algorithm>
#include <utility>

#include "agents/command_log.hpp"
#include "core/model/fencing_token.hpp"
#include "io/log.hpp"
#include "wire/agent_messages.hpp"
#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::agents {

namespace {

void log_heartbeat_result(const core::Heartbeat& heartbeat, const core::AgentCounters& before,
                          const core::AgentCounters& after,
                          const core::HeartbeatResponse& response) {
    if (after.unexpected != before.unexpected)
        io::log::info("unexpected_tasks", "machine", heartbeat.machine, "tasks",
                      after.unexpected - before.unexpected, "token", heartbeat.fencing_token,
                      "agent_epoch", heartbeat.agent_epoch, "sequence", heartbeat.sequence);
    if (after.lost != before.lost || after.errors != before.errors)
        io::log::debug("heartbeat_showed_failures", "machine", heartbeat.machine, "lost",
                       after.lost - before.lost, "errors", after.errors - before.errors);
    log_response_commands(heartbeat.machine, response);
}

// An agent drops a response with a lower token than its own, whose generation its leader may have
// raised. A leader of a version without generations could not reach it with a higher one.
std::uint64_t token_for_renewal(const core::Heartbeat& heartbeat, std::uint64_t term) {
    const auto seen = heartbeat.fencing_token;
    return core::is_plain_term(seen) ? seen : std::max(seen, core::fencing_token(term));
}

}  // namespace

HeartbeatHandler::HeartbeatHandler(const core::AgentTimings& timings,
                                   state::LeaderState& leader_state,
                                   leadership::Leadership& leadership, leadership::Peers& peers,
                                   leadership::CancellationReplication& replication,
                                   io::ClockFunction clock)
    : leader_state_(leader_state),
      leadership_(leadership),
      peers_(peers),
      replication_(replication),
      clock_(std::move(clock)),
      routing_(timings.heartbeat),
      reachability_(timings.heartbeat) {}

void HeartbeatHandler::on_elected() {
    const std::lock_guard lock(mutex_);
    reachability_.reset(clock_());
}

bool HeartbeatHandler::detect_inbound_unreachable() {
    const std::lock_guard lock(mutex_);
    if (!reachability_.inbound_unreachable(clock_())) return false;
    reachability_.reset(clock_());
    return true;
}

wire::Response HeartbeatHandler::handle(const std::string& body, RequestOrigin origin) {
    const auto heartbeat = wire::parse_heartbeat(body);
    if (!heartbeat) {
        io::log::info("heartbeat_refused", "cause", "malformed");
        return {wire::http_status::bad_request, 0, wire::error_body("malformed report")};
    }
    const auto status = leadership_.status();
    if (!status.leading) {
        if (origin == RequestOrigin::peer) return wire::unavailable("another controller acts");
        return handle_as_follower(*heartbeat, body, status);
    }
    // An agent that knows a newer fencing token would discard the response and keep sending to this
    // controller until its lease has expired.
    const auto seen_term = core::term_of(heartbeat->fencing_token);
    if (seen_term > status.term) {
        leadership_.observe_newer_term(seen_term);
        return wire::unavailable("another controller acts");
    }
    {
        const std::lock_guard lock(mutex_);
        reachability_.record_heartbeat(heartbeat->machine, origin, clock_());
    }
    return handle_as_leader(*heartbeat, status.term);
}

wire::Response HeartbeatHandler::handle_as_leader(const core::Heartbeat& heartbeat,
                                                  std::uint64_t term) {
    auto access = leader_state_.lock();
    if (!replication_.may_renew()) return wire::unavailable("another controller may act");
    // Invariant ran_cancelled: until the records are loaded, this leader knows no more
    // cancellations than a follower and renews leases only under the follower's conditions. Without
    // this check, each of several leaders elected in quick succession renewed the lease of every
    // machine, and none of them sent a stop command.
    if (!access.controller()) return renew_without_leader(heartbeat, term);
    const auto before = access.controller()->counts();
    const auto result = access.controller()->heartbeat(heartbeat, clock_());
    if (!result.leader_is_current) return wire::unavailable("another controller acts");
    log_heartbeat_result(heartbeat, before, access.controller()->counts(), result);
    access.request_write();
    const bool frees_capacity =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                    [](const auto& task) { return task.state == core::TaskState::exited; });
    if (frees_capacity) access.request_placement();
    return {wire::http_status::ok, 0, wire::commands_body(result.fencing_token, result.commands)};
}

wire::Response HeartbeatHandler::handle_as_follower(const core::Heartbeat& heartbeat,
                                                    const std::string& body,
                                                    const leadership::LeadershipStatus& status) {
    const auto seen_term = core::term_of(heartbeat.fencing_token);
    if (seen_term > status.term) leadership_.observe_newer_term(seen_term);
    if (status.leader.empty() || seen_term > status.term)
        return {wire::http_status::service_unavailable, 0, wire::error_body("no view")};
    const bool has_current_token = seen_term == status.term;
    bool redirect = false;
    {
        const std::lock_guard lock(mutex_);
        redirect = routing_.should_redirect(heartbeat.machine, has_current_token, clock_());
    }
    if (redirect) return {wire::http_status::misdirected, 0, wire::redirect_body(status.leader)};
    // The agent cannot reach the leader, so its heartbeat is forwarded.
    if (auto response = leadership::forward_to_leader(wire::peer::Op::heartbeat, heartbeat.machine,
                                                      body, leadership_, peers_);
        response && response->status == wire::http_status::ok)
        return *response;
    return renew_without_leader(heartbeat, status.term);
}

// The response carries the last known fencing token, so the agent keeps its tasks running until the
// next leader fences it. Invariant ran_cancelled: the renewal is bounded in time and carries stop
// commands. When it was unbounded, tasks whose cancellation had been confirmed to their users kept
// running without a leader for as long as the outage lasted.
wire::Response HeartbeatHandler::renew_without_leader(const core::Heartbeat& heartbeat,
                                                      std::uint64_t term) {
    const auto stop_commands = replication_.renew_without_leader(heartbeat);
    if (!stop_commands) return wire::unavailable("nobody is known to act");
    for (const auto& command : *stop_commands)
        io::log::info("cancelled_task_stopped_without_leader", "machine", heartbeat.machine, "job",
                      command.job, "task", command.index);
    return {wire::http_status::ok, 0,
            wire::commands_body(token_for_renewal(heartbeat, term), *stop_commands)};
}

}  // namespace bendspindle::agents
