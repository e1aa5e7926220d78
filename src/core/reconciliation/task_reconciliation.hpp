/// Takes a machine's task list over into the jobs' assignments: what runs, what has exited, what is
/// no longer there, and what is there without an assignment. Called by `AgentGateway` with messages
/// of fenced machines, each newer than any before.
///
/// A task is idle again only when such a list shows it gone or its machine is proven gone (rule
/// ran_twice; docs/design.md, "Placing anew").
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/model/heartbeat.hpp"
#include "core/model/time.hpp"
#include "core/reconciliation/agent_counters.hpp"
#include "core/reconciliation/command_planner.hpp"
#include "core/reconciliation/failure_attribution.hpp"
#include "core/reconciliation/start_latency.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

/// What it was given must outlive it.
class Reconciliation {
  public:
    /// How a task list came: in a heartbeat, or in the answer to a direct call between two of them.
    enum class Source : std::uint8_t { heartbeat, direct_answer };

    Reconciliation(const MachineCatalog& catalog, MachineInventory& inventory, JobTable& job_table,
                   RuntimeEstimates& estimates, FailureAttribution& failures,
                   StartLatencyTracker& starts, AgentCounters& counts)
        : catalog_(catalog),
          inventory_(inventory),
          job_table_(job_table),
          estimates_(estimates),
          failure_attribution_(failures),
          starts_(starts),
          counts_(counts) {}

    /// The machine is fenced and the task list newer than any before. Adds the commands that follow
    /// from it: tasks to stop or acknowledge, and starts to repeat.
    void reconcile(Machine& machine, const Heartbeat& heartbeat, Source source, TimePoint now,
                   std::vector<TaskCommand>& commands);

  private:
    using Seen = std::set<TaskKey>;

    bool nothing_new(const Machine& machine, const Heartbeat& heartbeat) const;
    void reconcile_task(Machine& machine, const ReportedTask& task, TimePoint now, Seen& seen,
                        std::vector<TaskCommand>& commands);
    void reconcile_exit(Machine& machine, Job& job, const ReportedTask& task, TimePoint now,
                        std::vector<TaskCommand>& commands);
    void adopt(Machine& machine, Job& job, const ReportedTask& task, TimePoint now);
    void settle_absent(Machine& machine, const std::vector<TaskKey>& assigned,
                       const Heartbeat& heartbeat, Source source, const Seen& seen, TimePoint now,
                       std::vector<TaskCommand>& commands);
    void account_for_untracked(Machine& machine, TimePoint now) const;
    void task_exited(Machine& machine, Job& job, const ReportedTask& task, TimePoint now);

    const MachineCatalog& catalog_;
    MachineInventory& inventory_;
    JobTable& job_table_;
    RuntimeEstimates& estimates_;
    FailureAttribution& failure_attribution_;
    StartLatencyTracker& starts_;
    AgentCounters& counts_;
};

}  // namespace bendspindle::core
