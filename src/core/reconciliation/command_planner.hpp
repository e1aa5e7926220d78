// Orders that workers are due: starts of what is in a machine's ready list, stops of what must make
// room, is over or leaves with its machine. They are given with the answer to a report or in a
// direct call; which of the two is the caller's choice.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/reconciliation/agent_counters.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

// An order that concerns a reported task; a stop of this form gives it no time to save.
TaskCommand order_for(TaskCommand::Verb verb, const ReportedTask& task);

class CommandPlanner {
  public:
    CommandPlanner(const Config& config, const MachineCatalog& catalog, MachineInventory& inventory,
                   JobTable& pipelines, const RuntimeEstimates& estimates, AgentCounters& counts)
        : config_(config),
          catalog_(catalog),
          inventory_(inventory),
          job_table_(pipelines),
          estimates_(estimates),
          counts_(counts) {}

    // Stops that are due and not on their way already.
    void stop_ready(Machine& machine, TimePoint now, std::vector<TaskCommand>& commands) const;
    // Starts of the ready list, as far as there is room. `direct`: they go out in a direct call.
    void start_ready(Machine& machine, TimePoint now, bool direct,
                     std::vector<TaskCommand>& commands);
    // Stops of all that the report shows of jobs that are over.
    void stop_finished_jobs(const Heartbeat& heartbeat, std::vector<TaskCommand>& commands) const;
    // Stops, by direct call, of what was over already when this controller took over.
    void stop_orphaned_tasks(Machine& machine, TimePoint now,
                             std::vector<TaskCommand>& commands) const;
    // Jobs that are over, as far as they are known, with tasks on machines by the books or by the
    // last report: whoever renews the leases of these machines has to stop them.
    std::set<std::string> jobs_to_end() const;

    // What must leave machines that are taken, returned or failing.
    void drain(TimePoint now);
    void drain(Machine& machine, TimePoint now);
    // Bound tasks leave the machine's ready list and are placed anew.
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
