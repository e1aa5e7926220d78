#include "agents/heartbeat_handler.hpp"

#include <algorithm>
#include <utility>

#include "io/log.hpp"
#include "wire/agent_messages.hpp"
#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::agents {

namespace {

const char* name_of(core::TaskCommand::Verb verb) {
    switch (verb) {
        case core::TaskCommand::Verb::start:
            return "start";
        case core::TaskCommand::Verb::stop:
            return "stop";
        case core::TaskCommand::Verb::acknowledge:
            return "acknowledge";
    }
    return "";
}

void log_response(const core::Heartbeat& heartbeat, const core::AgentCounters& before,
                  const core::AgentCounters& after,
                  const std::vector<core::TaskCommand>& commands) {
    if (after.lost != before.lost || after.errors != before.errors)
        io::log::debug("heartbeat_showed_failures", "machine", heartbeat.machine, "lost",
                       after.lost - before.lost, "errors", after.errors - before.errors);
    for (const auto& command : commands)
        io::log::debug("task_command", "machine", heartbeat.machine, "verb", name_of(command.verb),
                       "job", command.job, "task", command.index, "attempt", command.attempt);
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
    reachability_.begin(clock_());
}

bool HeartbeatHandler::detect_inbound_unreachable() {
    const std::lock_guard lock(mutex_);
    if (!reachability_.inbound_unreachable(clock_())) return false;
    reachability_.begin(clock_());
    return true;
}

wire::Response HeartbeatHandler::heartbeat(const std::string& body, RequestOrigin origin) {
    const auto heartbeat = wire::parse_heartbeat(body);
    if (!heartbeat)
        return {wire::http_status::bad_request, 0, wire::error_body("malformed report")};
    const auto status = leadership_.status();
    if (!status.leading) {
        if (origin == RequestOrigin::peer) return wire::unavailable("another controller acts");
        return at_follower(*heartbeat, body, status);
    }
    // An agent that knows a newer fencing token would drop the response and stay with this
    // controller until its lease has expired.
    if (heartbeat->fencing_token > status.term) {
        leadership_.observe_newer_term(heartbeat->fencing_token);
        return wire::unavailable("another controller acts");
    }
    {
        const std::lock_guard lock(mutex_);
        reachability_.record_heartbeat(heartbeat->machine, origin, clock_());
    }
    return at_leader(*heartbeat, status.term);
}

wire::Response HeartbeatHandler::at_leader(const core::Heartbeat& heartbeat, std::uint64_t term) {
    auto access = leader_state_.lock();
    if (!replication_.may_renew()) return wire::unavailable("another controller may act");
    // Rule kept: ran_cancelled. Before the records are loaded this controller knows no more than a
    // follower, and renews no more than one. Each of several leaders that followed each other
    // quickly used to give every machine another lease, and none of them a stop command.
    if (!access.controller()) return renew_without_leader(heartbeat, term);
    const auto before = access.controller()->counts();
    const auto answer = access.controller()->heartbeat(heartbeat, clock_());
    if (!answer.leader_is_current) return wire::unavailable("another controller acts");
    log_response(heartbeat, before, access.controller()->counts(), answer.commands);
    access.request_write();
    const bool frees_capacity =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                    [](const auto& task) { return task.state == core::TaskState::exited; });
    if (frees_capacity) access.request_placement();
    return {wire::http_status::ok, 0, wire::commands_body(answer.fencing_token, answer.commands)};
}

wire::Response HeartbeatHandler::at_follower(const core::Heartbeat& heartbeat,
                                             const std::string& body,
                                             const leadership::LeadershipStatus& status) {
    if (heartbeat.fencing_token > status.term)
        leadership_.observe_newer_term(heartbeat.fencing_token);
    if (status.leader.empty() || heartbeat.fencing_token > status.term)
        return {wire::http_status::service_unavailable, 0, wire::error_body("no view")};
    const bool knows_leader = heartbeat.fencing_token == status.term;
    bool redirect = false;
    {
        const std::lock_guard lock(mutex_);
        redirect = routing_.should_redirect(heartbeat.machine, knows_leader, clock_());
    }
    if (redirect) return {wire::http_status::misdirected, 0, wire::redirect_body(status.leader)};
    // The agent cannot reach the leader: its heartbeat is forwarded.
    if (auto response = leadership::forward_to_leader(wire::peer::Op::heartbeat, heartbeat.machine,
                                                      body, leadership_, peers_);
        response && response->status == wire::http_status::ok)
        return *response;
    return renew_without_leader(heartbeat, status.term);
}

// The fencing token is still the last one known, so the agent may go on; the next leader fences it.
// Rule kept: ran_cancelled. Without a leader such responses kept tasks running, for as long as an
// outage lasted, whose cancellation had been confirmed to their users.
wire::Response HeartbeatHandler::renew_without_leader(const core::Heartbeat& heartbeat,
                                                      std::uint64_t term) {
    const auto stops = replication_.renew_without_leader(heartbeat);
    if (!stops) return wire::unavailable("nobody is known to act");
    for (const auto& command : *stops)
        io::log::info("cancelled_task_stopped_without_leader", "machine", heartbeat.machine, "job",
                      command.job, "task", command.index);
    return {wire::http_status::ok, 0, wire::commands_body(term, *stops)};
}

}  // namespace bendspindle::agents
