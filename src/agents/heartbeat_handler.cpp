#include "agents/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/users.hpp"
#include "wire/workers.hpp"

namespace bendspindle::agents {

namespace {

const char* name_of(core::TaskCommand::Verb verb) {
    switch (verb) {
        case core::TaskCommand::Verb::start:
            return "start";
        case core::TaskCommand::Verb::stop:
            return "stop";
        case core::TaskCommand::Verb::acknowledge:
            return "forget";
    }
    return "";
}

void log_answer(const core::Heartbeat& heartbeat, const core::AgentCounters& before,
                const core::AgentCounters& after, const std::vector<core::TaskCommand>& commands) {
    if (after.lost != before.lost || after.errors != before.errors)
        spdlog::debug("{}: lost {}, errors {}", heartbeat.machine, after.lost - before.lost,
                      after.errors - before.errors);
    for (const auto& command : commands)
        spdlog::debug("{}: {} {}/{} try {}", heartbeat.machine, name_of(command.verb), command.job,
                      command.index, command.attempt);
}

}  // namespace

HeartbeatHandler::HeartbeatHandler(const core::AgentTimings& workers,
                                   state::LeaderState& leader_state,
                                   leadership::Leadership& leadership, leadership::Peers& peers,
                                   leadership::CancellationReplication& replication,
                                   io::ClockFunction clock)
    : leader_state_(leader_state),
      leadership_(leadership),
      peers_(peers),
      replication_(replication),
      clock_(std::move(clock)),
      routing_(workers.heartbeat),
      reachability_(workers.heartbeat) {}

void HeartbeatHandler::on_elected() {
    const std::lock_guard lock(mutex_);
    reachability_.begin(clock_());
}

bool HeartbeatHandler::unreached() {
    const std::lock_guard lock(mutex_);
    if (!reachability_.lost(clock_())) return false;
    reachability_.begin(clock_());
    return true;
}

wire::Response HeartbeatHandler::heartbeat(const std::string& body, RequestOrigin from) {
    const auto heartbeat = wire::parse_heartbeat(body);
    if (!heartbeat) return {400, 0, wire::error_body("malformed report")};
    const auto status = leadership_.status();
    if (!status.leading) {
        if (from == RequestOrigin::peer) return wire::unavailable("another controller acts");
        return at_follower(*heartbeat, body, status);
    }
    // Guard: a worker that knows a newer token would drop the answer and stay with this node
    // until its lease is gone.
    if (heartbeat->fencing_token > status.term) {
        leadership_.observe_newer_term(heartbeat->fencing_token);
        return wire::unavailable("another controller acts");
    }
    {
        const std::lock_guard lock(mutex_);
        reachability_.record_heartbeat(heartbeat->machine, from == RequestOrigin::peer, clock_());
    }
    return at_leader(*heartbeat, status.term);
}

wire::Response HeartbeatHandler::at_leader(const core::Heartbeat& heartbeat, std::uint64_t term) {
    auto access = leader_state_.lock();
    if (!replication_.may_renew()) return wire::unavailable("another controller may act");
    // Guard against ran_cancelled: before the records are loaded this controller knows no more than
    // a follower, and renews no more than one. Each of several leaders that follow each other
    // quickly used to give every machine another lease, and none of them a stop.
    if (!access.controller()) return renew_without_leader(heartbeat, term);
    const auto before = access.controller()->counts();
    const auto answer = access.controller()->heartbeat(heartbeat, clock_());
    if (!answer.entitled) return wire::unavailable("another controller acts");
    log_answer(heartbeat, before, access.controller()->counts(), answer.commands);
    access.request_write();
    const bool changed =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                    [](const auto& t) { return t.state == core::TaskState::exited; });
    if (changed) access.request_placement();
    return {200, 0, wire::commands_body(answer.fencing_token, answer.commands)};
}

wire::Response HeartbeatHandler::at_follower(const core::Heartbeat& heartbeat,
                                             const std::string& body,
                                             const leadership::LeadershipStatus& status) {
    if (heartbeat.fencing_token > status.term)
        leadership_.observe_newer_term(heartbeat.fencing_token);
    if (status.leader.empty() || heartbeat.fencing_token > status.term)
        return {503, 0, wire::error_body("no view")};
    const bool knows_leader = heartbeat.fencing_token == status.term;
    bool there = false;
    {
        const std::lock_guard lock(mutex_);
        there = routing_.send_there(heartbeat.machine, knows_leader, clock_());
    }
    if (there) return {421, 0, wire::redirect_body(status.leader)};
    // The worker cannot reach the leader: its report is handed on.
    if (auto response = leadership::forward_to_leader(wire::peer::Op::heartbeat, heartbeat.machine,
                                                      body, leadership_, peers_);
        response && response->status == 200)
        return *response;
    return renew_without_leader(heartbeat, status.term);
}

// The token is still the last one known, so the worker may go on; whoever acts next confirms it.
// Guard against ran_cancelled: with nobody who acts such answers kept tasks alive, for as long as
// an outage lasted, whose users had been told that they are cancelled.
wire::Response HeartbeatHandler::renew_without_leader(const core::Heartbeat& heartbeat,
                                                      std::uint64_t term) {
    const auto stops = replication_.renew_without_leader(heartbeat);
    if (!stops) return wire::unavailable("nobody is known to act");
    for (const auto& command : *stops)
        spdlog::info("{}: stop {}/{}, cancelled, with nobody at hand who acts", heartbeat.machine,
                     command.job, command.index);
    return {200, 0, wire::commands_body(term, *stops)};
}

}  // namespace bendspindle::agents
