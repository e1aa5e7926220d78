// Takes over into placements what a machine's task list says: what runs, what has exited, what is
// no longer there, and what is there without being placed.
//
// A task is idle again only when a confirmed report shows it gone or its machine is proven gone
// (docs/design.md, "Placing anew").
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/reconciliation/agent_counters.hpp"
#include "core/reconciliation/command_planner.hpp"
#include "core/reconciliation/failure_attribution.hpp"
#include "core/reconciliation/start_latency.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

class Reconciliation {
  public:
    // How a task list came: as a report, or as the answer to a direct call between two reports.
    enum class Source : std::uint8_t { heartbeat, direct_answer };

    Reconciliation(const MachineCatalog& catalog, MachineInventory& inventory, JobTable& pipelines,
                   RuntimeEstimates& estimates, FailureAttribution& failures,
                   StartLatencyTracker& starts, AgentCounters& counts)
        : catalog_(catalog),
          inventory_(inventory),
          job_table_(pipelines),
          estimates_(estimates),
          failure_attribution_(failures),
          starts_(starts),
          counts_(counts) {}

    // The machine is confirmed and the report newer than any before. Adds the orders that follow
    // from it: tasks to stop or forget, and starts to repeat.
    void reconcile(Machine& machine, const Heartbeat& heartbeat, Source source, TimePoint now,
                   std::vector<TaskCommand>& commands);

  private:
    using Seen = std::set<HeldKey>;

    bool nothing_new(const Machine& machine, const Heartbeat& heartbeat) const;
    void take_over_task(Machine& machine, const ReportedTask& task, TimePoint now, Seen& seen,
                        std::vector<TaskCommand>& commands);
    void take_over_exit(Machine& machine, Job& job, const ReportedTask& task, TimePoint now,
                        std::vector<TaskCommand>& commands);
    void adopt(Machine& machine, Job& job, const ReportedTask& task, TimePoint now);
    void settle_absent(Machine& machine, const std::vector<HeldKey>& held,
                       const Heartbeat& heartbeat, Source source, const Seen& seen, TimePoint now,
                       std::vector<TaskCommand>& commands);
    void count_strays(Machine& machine, TimePoint now) const;
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
