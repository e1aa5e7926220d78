#include "core/reconciliation/agent_gateway.hpp"

namespace bendspindle::core {

AgentGateway::AgentGateway(const Config& config, const MachineCatalog& catalog,
                           MachineInventory& inventory, JobTable& pipelines,
                           RuntimeEstimates& estimates, std::uint64_t term)
    : inventory_(inventory),
      job_table_(pipelines),
      term_(term),
      failure_attribution_(inventory),
      command_planner_(config, catalog, inventory, pipelines, estimates, counts_),
      direct_commands_(inventory, pipelines, command_planner_, term),
      reconciliation_(catalog, inventory, pipelines, estimates, failure_attribution_, starts_,
                      counts_) {}

void AgentGateway::called(const DirectCommand& call, CommandOutcome outcome,
                          const Heartbeat* answer, TimePoint now) {
    auto* machine = inventory_.find(call.machine);
    if (!machine) return;
    machine->call_out = false;
    for (const auto& command : call.commands) {
        if (command.verb == TaskCommand::Verb::stop && outcome != CommandOutcome::executed)
            direct_commands_.repeat_stop(command);
        if (command.verb == TaskCommand::Verb::start)
            direct_commands_.settle_start(*machine, command, call, outcome, answer);
    }
    if (!answer || answer->fencing_token > term_ || machine->has_seen(*answer)) return;
    // The worker was asked under a wrong session; the right one is tried at once.
    if (answer->agent_epoch != call.agent_epoch) machine->last_call = TimePoint{};
    inventory_.observe(*machine, *answer, MachineInventory::By::call, now);
    if (answer->fencing_token < term_) return;
    inventory_.confirm(*machine, now);
    MachineInventory::hears(*machine);
    // What it would order goes out with the next report; nothing here depends on its arrival.
    std::vector<TaskCommand> later_orders;
    reconciliation_.reconcile(*machine, *answer, Reconciliation::Source::direct_answer, now,
                              later_orders);
}

HeartbeatResponse AgentGateway::heartbeat(const Heartbeat& heartbeat, TimePoint now) {
    if (heartbeat.fencing_token > term_) return {false, term_, {}};
    HeartbeatResponse answer{true, term_, {}};
    // A machine whose release was answered is gone; this report was held up on its way.
    if (inventory_.gone(heartbeat.machine)) return answer;
    // Guard against held-up reports and copies: an older list must never replace a newer one, nor
    // an address or a type. Where a direct answer has overtaken a report, its worker still takes
    // this answer as a renewal.
    if (const auto* known = inventory_.find(heartbeat.machine);
        known && known->has_seen(heartbeat)) {
        command_planner_.stop_finished_jobs(heartbeat, answer.commands);
        return answer;
    }
    auto& machine = inventory_.meet(heartbeat, now);
    inventory_.observe(machine, heartbeat, MachineInventory::By::heartbeat, now);
    // Guard against ran_twice: until the machine has seen this token, a start of the former
    // term may still take effect after the list was made.
    if (heartbeat.fencing_token < term_) {
        command_planner_.stop_finished_jobs(heartbeat, answer.commands);
        return answer;
    }
    inventory_.confirm(machine, now);
    inventory_.heed(machine, heartbeat, now);
    reconciliation_.reconcile(machine, heartbeat, Reconciliation::Source::heartbeat, now,
                              answer.commands);
    if (machine.taken_at) {
        command_planner_.drain(machine, now);
        command_planner_.unbind(machine);
    }
    command_planner_.stop_ready(machine, now, answer.commands);
    command_planner_.stop_finished_jobs(heartbeat, answer.commands);
    command_planner_.start_ready(machine, now, false, answer.commands);
    if (!machine.held.empty()) machine.idle_since = now;
    machine.asked = answer.commands;
    return answer;
}

void AgentGateway::released(const std::string& name) {
    auto* machine = inventory_.find(name);
    if (!machine) return;
    counts_.lost += job_table_.lose(*machine);
    inventory_.remove(name);
}

}  // namespace bendspindle::core
