#include "core/reconciliation/agent_gateway.hpp"

#include "core/model/fencing_token.hpp"

namespace bendspindle::core {

AgentGateway::AgentGateway(const Config& config, const MachineCatalog& catalog,
                           MachineInventory& inventory, JobTable& job_table,
                           RuntimeEstimates& estimates, std::uint64_t term)
    : inventory_(inventory),
      job_table_(job_table),
      term_(term),
      failure_attribution_(inventory),
      command_planner_(config, catalog, inventory, job_table, estimates, counts_),
      direct_commands_(inventory, job_table, command_planner_, term),
      reconciliation_(catalog, inventory, job_table, estimates, failure_attribution_,
                      start_latency_, counts_) {}

void AgentGateway::complete_direct_call(const DirectCommand& call, CommandOutcome outcome,
                                        const Heartbeat* answer, TimePoint now) {
    auto* machine = inventory_.find(call.machine);
    if (!machine) return;
    machine->direct_calls.in_progress = false;
    for (const auto& command : call.commands) {
        if (command.verb == TaskCommand::Verb::stop && outcome != CommandOutcome::executed)
            direct_commands_.repeat_stop(command);
        if (command.verb == TaskCommand::Verb::start)
            direct_commands_.settle_start(command, call, outcome, answer);
    }
    if (!answer || term_of(answer->fencing_token) > term_ || machine->has_seen(*answer)) return;
    // The call used a wrong agent epoch; it is repeated at once with the right one.
    if (answer->agent_epoch != call.agent_epoch) machine->direct_calls.last_call_at = TimePoint{};
    inventory_.observe(*machine, *answer, MachineInventory::Origin::direct_call, now);
    if (term_of(answer->fencing_token) < term_) return;
    inventory_.confirm(*machine, answer->fencing_token, now);
    MachineInventory::mark_reachable(*machine);
    // These commands are discarded. The next heartbeat generates them again, and nothing here
    // depends on their delivery.
    CommandBatch deferred_commands;
    reconciliation_.reconcile(*machine, *answer, Reconciliation::Source::direct_answer, now,
                              deferred_commands);
}

HeartbeatResponse AgentGateway::heartbeat(const Heartbeat& heartbeat, TimePoint now) {
    HeartbeatResponse response{true, fencing_token(term_), {}};
    if (term_of(heartbeat.fencing_token) > term_) {
        response.leader_is_current = false;
        return response;
    }
    // The release of the machine is confirmed, so it is gone; this heartbeat was delayed in the
    // network.
    if (inventory_.removed(heartbeat.machine)) return response;
    // Guard against ran_cancelled: whatever else is due, these stops are in the response.
    CommandBatch commands(command_planner_.stops_of_finished_jobs(heartbeat));
    // Guard against delayed heartbeats and copies: an older task list must never replace a newer
    // one, nor may an older address or type. If the answer to a direct call has overtaken a
    // heartbeat, the agent still accepts this response as a lease renewal.
    if (const auto* known = inventory_.find(heartbeat.machine);
        known && known->has_seen(heartbeat)) {
        commands.add_required();
        response.commands = commands.take();
        response.fencing_token = fencing_token(term_, known->fencing.token_generation);
        return response;
    }
    auto& machine = inventory_.add_or_update(heartbeat, now);
    inventory_.observe(machine, heartbeat, MachineInventory::Origin::heartbeat, now);
    // Guard against ran_twice: until the machine has seen this term's fencing token, a start of the
    // former term may still take effect after the task list was made.
    if (term_of(heartbeat.fencing_token) < term_) {
        commands.add_required();
        response.commands = commands.take();
        return response;
    }
    inventory_.confirm(machine, heartbeat.fencing_token, now);
    inventory_.check_acknowledgements(machine, heartbeat, now);
    reconciliation_.reconcile(machine, heartbeat, Reconciliation::Source::heartbeat, now, commands);
    if (machine.lifecycle.reclaim_at) {
        command_planner_.drain(machine, now);
        command_planner_.unbind(machine);
    }
    command_planner_.add_due_stops(machine, now, commands);
    commands.add_required();
    command_planner_.add_ready_starts(machine, now, false, commands);
    response.commands = commands.take();
    // Guard against ran_twice and ran_cancelled: the agent forgets an acknowledged attempt, and a
    // copy of the direct call that started it would start it again.
    if (contains(response.commands, TaskCommand::Verb::acknowledge))
        DirectCommands::invalidate_starts(machine);
    response.fencing_token = fencing_token(term_, machine.fencing.token_generation);
    if (!machine.assigned_tasks.empty()) machine.lifecycle.idle_since = now;
    machine.reachability.outstanding_commands = response.commands;
    return response;
}

void AgentGateway::released(const std::string& name) {
    auto* machine = inventory_.find(name);
    if (!machine) return;
    counts_.lost += job_table_.mark_lost(*machine);
    inventory_.remove(name);
}

}  // namespace bendspindle::core
