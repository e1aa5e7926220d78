#include "core/reconciliation/direct_commands.hpp"

#include <algorithm>

namespace bendspindle::core {

namespace {

constexpr Seconds ask_again{3};

}  // namespace

std::vector<DirectCommand> DirectCommands::due(TimePoint now, bool may_start) {
    std::vector<DirectCommand> out;
    for (auto& [name, machine] : inventory_.all()) {
        if (machine.call_out || machine.address.empty() || machine.releasing) continue;
        DirectCommand call{
            name, machine.address, term_, std::max<std::uint64_t>(machine.agent_epoch, 1), {}};
        if ((machine.durable && !machine.confirmed) || machine.deaf_since) {
            // Each recorded machine is asked at once after a takeover: a former controller that
            // does not know it is one may keep the workers' reports to itself. One that does not
            // seem to hear is asked until it answers.
            if (machine.last_call != TimePoint{} && between(machine.last_call, now) < ask_again)
                continue;
        } else {
            command_planner_.stop_ready(machine, now, call.commands);
            command_planner_.stop_orphaned_tasks(machine, now, call.commands);
            if (may_start) command_planner_.start_ready(machine, now, true, call.commands);
            if (call.commands.empty()) continue;
        }
        machine.call_out = true;
        machine.last_call = now;
        out.push_back(std::move(call));
    }
    return out;
}

// A stop whose direct call failed travels with the next answer to a report.
void DirectCommands::repeat_stop(const TaskCommand& command) {
    auto* job = job_table_.find(command.job);
    if (!job) return;
    const auto placed = job->placed.find(command.index);
    if (placed != job->placed.end() && placed->second.attempt == command.attempt)
        placed->second.stop_sent = TimePoint{};
}

void DirectCommands::settle_start(Machine& machine, const TaskCommand& command,
                                  const DirectCommand& call, CommandOutcome outcome,
                                  const Heartbeat* answer) {
    if (outcome == CommandOutcome::unknown)
        machine.unanswered.insert({command.job, command.attempt});
    auto* job = job_table_.find(command.job);
    if (!job) return;
    const auto placed = job->placed.find(command.index);
    if (placed == job->placed.end()) return;
    auto& assignment = placed->second;
    if (assignment.attempt != command.attempt || assignment.machine != call.machine ||
        assignment.stage != Assignment::Stage::ordered || !assignment.in_flight)
        return;
    if (outcome == CommandOutcome::executed && answer) {
        assignment.in_flight = false;
        assignment.started_in_agent_epoch = answer->agent_epoch;
    } else if (outcome == CommandOutcome::rejected) {
        assignment.in_flight = false;
        assignment.stage = Assignment::Stage::bound;
    }
}

}  // namespace bendspindle::core
