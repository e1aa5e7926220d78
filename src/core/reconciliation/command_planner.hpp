/// Decides which commands are due for agents: starts of the tasks in a machine's ready list, and
/// stops of tasks that are preempted, whose job is terminal, or whose machine is draining. Called
/// by `AgentGateway` for heartbeat responses and by `DirectCommands` for direct calls. Writes the
/// stages `bound` and `commanded` of assignments, and the times at which stops were sent. Adds to a
/// batch and sends nothing itself; what does not fit into the batch stays due.
///
/// Nothing is started on a machine that is not usable: not fenced, not recorded, draining or
/// unreachable.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/model/heartbeat.hpp"
#include "core/model/time.hpp"
#include "core/reconciliation/agent_counters.hpp"
#include "core/reconciliation/command_batch.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

/// Returns a command for a reported task. A stop made this way has no grace period.
[[nodiscard]] TaskCommand command_for(TaskCommand::Verb verb, const ReportedTask& task);

/// Plans commands for agents. All constructor arguments must outlive the planner.
class CommandPlanner {
  public:
    CommandPlanner(const Config& config, const MachineCatalog& catalog, MachineInventory& inventory,
                   JobTable& job_table, const RuntimeEstimates& estimates, AgentCounters& counts)
        : config_(config),
          catalog_(catalog),
          inventory_(inventory),
          job_table_(job_table),
          estimates_(estimates),
          counts_(counts) {}

    /// Adds the stops that are due and not already in flight.
    void add_due_stops(Machine& machine, TimePoint now, CommandBatch& commands) const;
    /// Adds starts from the ready list, as far as the tasks fit. `direct` means that the starts are
    /// sent in a direct call.
    void add_ready_starts(Machine& machine, TimePoint now, bool direct, CommandBatch& commands);
    /// Returns stops for all tasks of cancelled and orphaned jobs in the heartbeat. The response to
    /// it must carry them.
    [[nodiscard]] std::vector<TaskCommand> stops_of_finished_jobs(const Heartbeat& heartbeat) const;
    /// Adds stops for orphaned tasks to a direct call.
    void stop_orphaned_tasks(Machine& machine, TimePoint now, CommandBatch& commands) const;
    /// Returns the cancelled and orphaned jobs that have tasks on machines, by assignment or by the
    /// last task list. A controller that renews the leases of these machines has to stop the tasks
    /// (rule ran_cancelled).
    [[nodiscard]] std::set<std::string> jobs_to_stop() const;

    /// Stops and unbinds the tasks that have to leave draining or unreachable machines.
    void drain(TimePoint now);
    /// Stops the tasks that have to leave a draining machine, with time to save a checkpoint.
    void drain(Machine& machine, TimePoint now);
    /// Removes bound tasks from the machine's ready list, so that they are placed again.
    void unbind(Machine& machine);

  private:
    bool must_stop(const std::string& id) const;

    const Config& config_;
    const MachineCatalog& catalog_;
    MachineInventory& inventory_;
    JobTable& job_table_;
    const RuntimeEstimates& estimates_;
    AgentCounters& counts_;
};

}  // namespace bendspindle::core
