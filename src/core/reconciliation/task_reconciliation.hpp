/// Applies the task list of a machine to the assignments of jobs: tasks that run, have exited, are
/// missing, or run without an assignment. Called by `AgentGateway` with messages of fenced
/// machines, each newer than any before.
///
/// A task becomes idle again only if such a list shows that it is gone, or if its machine is proven
/// gone (rule ran_twice; docs/design.md, "Placing anew").
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
#include "core/reconciliation/command_batch.hpp"
#include "core/reconciliation/command_planner.hpp"
#include "core/reconciliation/failure_attribution.hpp"
#include "core/reconciliation/start_latency.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

/// Applies task lists. All constructor arguments must outlive the object.
class Reconciliation {
  public:
    /// How a task list arrived: in a heartbeat, or in the answer to a direct call between
    /// heartbeats.
    enum class Source : std::uint8_t { heartbeat, direct_answer };

    Reconciliation(const MachineCatalog& catalog, MachineInventory& inventory, JobTable& job_table,
                   RuntimeEstimates& estimates, FailureAttribution& failures,
                   StartLatencyTracker& start_latency, AgentCounters& counts)
        : catalog_(catalog),
          inventory_(inventory),
          job_table_(job_table),
          estimates_(estimates),
          failure_attribution_(failures),
          start_latency_(start_latency),
          counts_(counts) {}

    /// Applies the task list in `heartbeat`. Requires that the machine is fenced and that the list
    /// is newer than any before. Adds the resulting commands: tasks to stop or acknowledge, and
    /// starts to repeat.
    void reconcile(Machine& machine, const Heartbeat& heartbeat, Source source, TimePoint now,
                   CommandBatch& commands);

  private:
    using Seen = std::set<TaskKey>;

    bool is_unchanged(const Machine& machine, const Heartbeat& heartbeat) const;
    void reconcile_task(Machine& machine, const ReportedTask& task, TimePoint now, Seen& seen,
                        CommandBatch& commands);
    void reconcile_exit(Machine& machine, Job& job, const ReportedTask& task, TimePoint now,
                        CommandBatch& commands);
    static void acknowledge(const Machine& machine, const ReportedTask& task,
                            CommandBatch& commands);
    void adopt(Machine& machine, Job& job, const ReportedTask& task, TimePoint now);
    void reconcile_absent(Machine& machine, const std::vector<TaskKey>& assigned,
                          const Heartbeat& heartbeat, Source source, const Seen& seen,
                          TimePoint now, CommandBatch& commands);
    static void repeat_unsettled_start(const Job& job, std::uint32_t index,
                                       const Assignment& assignment, CommandBatch& commands);
    void update_untracked(Machine& machine, TimePoint now) const;
    void apply_exit(Machine& machine, Job& job, const ReportedTask& task, TimePoint now);

    const MachineCatalog& catalog_;
    MachineInventory& inventory_;
    JobTable& job_table_;
    RuntimeEstimates& estimates_;
    FailureAttribution& failure_attribution_;
    StartLatencyTracker& start_latency_;
    AgentCounters& counts_;
};

}  // namespace bendspindle::core
