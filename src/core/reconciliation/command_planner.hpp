/// Decides which commands agents are due: starts of what is in a machine's ready list, stops of
/// what is preempted, terminal or on a draining machine. Called by `AgentGateway` for responses to
/// heartbeats and by `DirectCommands` for calls. Writes the stages `bound` and `commanded` of
/// assignments, and when stops went out; adds to `commands` and sends nothing itself.
///
/// Nothing starts on a machine that is not usable: not fenced, not recorded, draining, unreachable.
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
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

/// A command that concerns a reported task; a stop of this form leaves it no time to save.
[[nodiscard]] TaskCommand command_for(TaskCommand::Verb verb, const ReportedTask& task);

/// What it was given must outlive it.
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

    /// Stops that are due and not on their way already.
    void stop_ready(Machine& machine, TimePoint now, std::vector<TaskCommand>& commands) const;
    /// Starts of the ready list, as far as they fit. `direct`: they go out in a direct call.
    void start_ready(Machine& machine, TimePoint now, bool direct,
                     std::vector<TaskCommand>& commands);
    /// Stops of all that the heartbeat shows of cancelled and orphaned jobs.
    void stop_finished_jobs(const Heartbeat& heartbeat, std::vector<TaskCommand>& commands) const;
    /// Stops, by direct call, of orphaned tasks.
    void stop_orphaned_tasks(Machine& machine, TimePoint now,
                             std::vector<TaskCommand>& commands) const;
    /// Cancelled and orphaned jobs with tasks on machines, by assignment or by the last task list:
    /// whoever renews the leases of these machines has to stop them (rule ran_cancelled).
    [[nodiscard]] std::set<std::string> jobs_to_end() const;

    /// Stops and unbinds what must leave machines that are draining or unreachable.
    void drain(TimePoint now);
    /// Stops what must leave a draining machine, with time to save.
    void drain(Machine& machine, TimePoint now);
    /// Bound tasks leave the machine's ready list and are placed anew.
    void unbind(Machine& machine);

  private:
    bool must_end(const std::string& id) const;

    const Config& config_;
    const MachineCatalog& catalog_;
    MachineInventory& inventory_;
    JobTable& job_table_;
    const RuntimeEstimates& estimates_;
    AgentCounters& counts_;
};

}  // namespace bendspindle::core
