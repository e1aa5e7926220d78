/// The placement cycle: a snapshot for DSMF, its decisions taken over, then preemption for what is
/// left waiting. Called by `Controller`. Decides where tasks go on the ordinary path, and nothing
/// else does; it binds only, and starts are `CommandPlanner`'s.
///
/// What is bound and not commanded is withdrawn and decided anew in each cycle, but for
/// reservations made by preemption and gangs that have begun to start.
#pragma once

#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/model/time.hpp"
#include "core/scheduling/dsmf.hpp"
#include "core/scheduling/preemption.hpp"
#include "core/scheduling/quota_accounting.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

/// What it was given must outlive it.
class PlacementCycle {
  public:
    PlacementCycle(const Config& config, const MachineCatalog& catalog, MachineInventory& inventory,
                   JobTable& job_table, const RuntimeEstimates& estimates,
                   const QuotaAccounting& quota_accounting, Preemption& preemption)
        : config_(config),
          catalog_(catalog),
          inventory_(inventory),
          job_table_(job_table),
          estimates_(estimates),
          quota_accounting_(quota_accounting),
          preemption_(preemption) {}

    /// One cycle. The catalog must be known.
    void cycle(TimePoint now);

  private:
    // What DSMF sees, and what its indices mean.
    struct Snapshot {
        std::vector<Machine*> machines;
        std::vector<dsmf::Machine> views;
        std::vector<Job*> jobs;
        std::vector<dsmf::Pipeline> pipelines;
    };
    void withdraw_bound(TimePoint now);
    void break_partial_gangs();
    dsmf::Machine view_of(const Machine& machine, TimePoint now) const;
    void snapshot_machines(Snapshot& snapshot, TimePoint now);
    void snapshot_jobs(Snapshot& snapshot, const QuotaSnapshot& quota, TimePoint now) const;
    dsmf::EligibleJob eligible(const Job& job, std::uint32_t tasks, bool under_minimum_share,
                               const Snapshot& snapshot, TimePoint now) const;
    // Machines on which it has failed.
    std::vector<std::size_t> excluded(const Job& job, const Snapshot& snapshot) const;
    // Stretches makespans where more is asked for than there is.
    void stretch_makespans(Snapshot& snapshot, const QuotaSnapshot& quota) const;
    void bind(const dsmf::Result& result, const Snapshot& snapshot, QuotaSnapshot& quota,
              TimePoint now);

    const Config& config_;
    const MachineCatalog& catalog_;
    MachineInventory& inventory_;
    JobTable& job_table_;
    const RuntimeEstimates& estimates_;
    const QuotaAccounting& quota_accounting_;
    Preemption& preemption_;
};

}  // namespace bendspindle::core
