#include "core/reconciliation/direct_commands.hpp"

#include <algorithm>

#include "core/model/fencing_token.hpp"

namespace bendspindle::core {

namespace {

// Interval between two calls to a machine that carry no commands.
constexpr Seconds probe_interval{3};

}  // namespace

std::vector<DirectCommand> DirectCommands::due(TimePoint now, bool may_start) {
    std::vector<DirectCommand> out;
    for (auto& [name, machine] : inventory_.all()) {
        if (machine.direct_calls.in_progress || machine.identity.address.empty() ||
            machine.lifecycle.releasing)
            continue;
        DirectCommand call{name,
                           machine.identity.address,
                           fencing_token(term_, machine.fencing.token_generation),
                           std::max<std::uint64_t>(machine.fencing.agent_epoch, 1),
                           {}};
        if ((machine.record.durable && !machine.fencing.confirmed) ||
            machine.reachability.inbound_unreachable_since) {
            // Each recorded machine is called immediately after a failover, because a former leader
            // that does not know that it is deposed may still receive the agents' heartbeats. A
            // machine that seems unreachable is called until it answers.
            if (machine.direct_calls.last_call_at != TimePoint{} &&
                between(machine.direct_calls.last_call_at, now) < probe_interval)
                continue;
        } else {
            CommandBatch commands;
            command_planner_.add_due_stops(machine, now, commands);
            command_planner_.stop_orphaned_tasks(machine, now, commands);
            if (may_start) command_planner_.add_ready_starts(machine, now, true, commands);
            if (commands.empty()) continue;
            call.commands = commands.take();
            if (contains(call.commands, TaskCommand::Verb::start))
                machine.direct_calls.starts_under_present_token = true;
        }
        machine.direct_calls.in_progress = true;
        machine.direct_calls.last_call_at = now;
        out.push_back(std::move(call));
    }
    return out;
}

void DirectCommands::invalidate_starts(Machine& machine) {
    if (!machine.direct_calls.starts_under_present_token) return;
    ++machine.fencing.token_generation;
    machine.direct_calls.starts_under_present_token = false;
}

// A stop whose direct call failed is sent again in the next heartbeat response.
void DirectCommands::repeat_stop(const TaskCommand& command) {
    auto* job = job_table_.find(command.job);
    if (!job) return;
    const auto placed = job->assignments.find(command.index);
    if (placed != job->assignments.end() && placed->second.attempt == command.attempt)
        placed->second.stop_sent_at = TimePoint{};
}

void DirectCommands::settle_start(const TaskCommand& command, const DirectCommand& call,
                                  CommandOutcome outcome, const Heartbeat* answer) {
    auto* job = job_table_.find(command.job);
    if (!job) return;
    const auto placed = job->assignments.find(command.index);
    if (placed == job->assignments.end()) return;
    auto& assignment = placed->second;
    if (assignment.attempt != command.attempt || assignment.machine != call.machine ||
        assignment.stage != Assignment::Stage::commanded || !assignment.direct_start_unsettled)
        return;
    if (outcome == CommandOutcome::executed && answer) {
        assignment.direct_start_unsettled = false;
        assignment.started_in_agent_epoch = answer->agent_epoch;
    } else if (outcome == CommandOutcome::rejected) {
        withdraw_rejected_start(*job, command.index, assignment);
    }
}

// Guard against ran_cancelled: a bound task is started by the next command to its machine, so a
// task that was to be stopped while the call was in progress is unassigned instead.
void DirectCommands::withdraw_rejected_start(Job& job, std::uint32_t index,
                                             Assignment& assignment) {
    assignment.direct_start_unsettled = false;
    if (!assignment.stopping && !job.is_terminal()) {
        assignment.stage = Assignment::Stage::bound;
        return;
    }
    job_table_.end_attempt(job, index);
    job_table_.forget_if_terminal(job);
}

}  // namespace bendspindle::core
