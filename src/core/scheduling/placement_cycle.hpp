/// The placement cycle: takes a snapshot, runs DSMF on it, applies the resulting binds and preempts
/// for the jobs that still wait. Called by `Controller`. In normal operation, only the placement
/// cycle decides where tasks run. It binds tasks; `CommandPlanner` starts them.
///
/// Each cycle withdraws the binds for which no start was commanded and decides them again, except
/// reservations made by preemption and gangs of which a start was commanded.
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

/// Places waiting tasks on machines. The constructor's arguments must outlive the object.
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

    /// Runs one cycle. Requires that the catalog is known.
    void run(TimePoint now);

  private:
    // The input of DSMF, and the machines and jobs that its indices refer to.
    struct Snapshot {
        std::vector<Machine*> machines;
        std::vector<dsmf::Machine> views;
        std::vector<Job*> jobs;
        std::vector<dsmf::Pipeline> pipelines;
    };
    void withdraw_uncommanded_binds(TimePoint now);
    void break_partial_gangs();
    dsmf::Machine view_of(const Machine& machine, TimePoint now) const;
    void snapshot_machines(Snapshot& snapshot, TimePoint now);
    void snapshot_jobs(Snapshot& snapshot, const QuotaSnapshot& quota, TimePoint now) const;
    dsmf::EligibleJob make_eligible_job(const Job& job, std::uint32_t tasks,
                                        bool under_minimum_share, const Snapshot& snapshot,
                                        TimePoint now) const;
    // Returns the indices of the machines on which the job has failed, or none if those are most of
    // the machines allowed for it.
    std::vector<std::size_t> find_excluded_machines(const Job& job, const Snapshot& snapshot) const;
    // Sets the stretch factors of all pipelines, for demand beyond capacity.
    void stretch_makespans(Snapshot& snapshot, const QuotaSnapshot& quota) const;
    void apply_binds(const dsmf::Result& result, const Snapshot& snapshot, QuotaSnapshot& quota,
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
