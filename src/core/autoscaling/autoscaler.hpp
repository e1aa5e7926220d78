/// Decides which machines to scale out and which to release. The demand is packed onto the existing
/// machines. Machines are scaled out for the tasks that do not fit, and a machine on which nothing
/// is packed is released after it has idled. Called by `Controller`; the cloud client carries out
/// the plan and reports the results. Owns the learned demand and the list of pools in which the
/// cloud recently refused machines, and writes the scale-in fields of `Machine::lifecycle`.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/autoscaling/bin_packing.hpp"
#include "core/autoscaling/demand_forecast.hpp"
#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/scale_out_request.hpp"
#include "core/model/time.hpp"
#include "core/scheduling/quota_accounting.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

/// Requests to the cloud. The machines in `release` are marked as releasing, and are listed in each
/// plan until the cloud has answered their release.
struct ScalingPlan {
    std::vector<ScaleOutRequest> scale_out;
    std::vector<std::string> release;
    // The machines in `release` that must be deleted even if another controller has become leader.
    std::vector<std::string> overdue;
};

/// Plans scale-out and scale-in. One instance is created for each term, because request names
/// contain the term.
class Autoscaler {
  public:
    Autoscaler(const Config& config, const MachineCatalog& catalog, MachineInventory& inventory,
               const JobTable& job_table, const RuntimeEstimates& estimates,
               const QuotaAccounting& quota_accounting, std::uint64_t term)
        : config_(config),
          catalog_(catalog),
          inventory_(inventory),
          job_table_(job_table),
          estimates_(estimates),
          quota_accounting_(quota_accounting),
          demand_(config, catalog, estimates),
          term_(term) {}

    /// Records the acceptance of a job.
    void record_arrival(const JobSpec& spec, TimePoint now) { demand_.record_arrival(spec, now); }
    /// Returns the requests to send to the cloud at `now`.
    [[nodiscard]] ScalingPlan plan(TimePoint now);
    /// Records the cloud's answer to a scale-out. If the cloud created fewer machines than
    /// requested, the pool is not scaled out for a while.
    void record_scale_out(const ScaleOutRequest& request, const std::vector<std::string>& names,
                          TimePoint now);

  private:
    // A running task of a gang, its machine, and the time until the task is expected to end.
    struct ExpectedCompletion {
        Seconds in{0};
        const Job* job = nullptr;
        const Machine* machine = nullptr;
    };
    std::vector<TaskDemand> collect_demands(TimePoint now);
    std::vector<ExpectedCompletion> expected_completions(TimePoint now) const;
    bool waits_for_completion(const Job& job, std::vector<ExpectedCompletion>& expected_completions,
                              TimePoint now) const;
    std::uint32_t wanted_tasks(const Job& job, TimePoint now) const;
    // Returns how much longer the job may wait for resources under the objective of its class.
    Seconds start_slack(const Job& job, TimePoint now) const;
    // Returns whether a task will keep its place for longer than another job should wait for it.
    bool stays_in_place(const AssignedTask& task, TimePoint now) const;
    BinPacking pack_demands(const std::vector<TaskDemand>& demands, TimePoint now) const;
    std::vector<std::string> scale_in(const BinPacking& packing, TimePoint now);

    const Config& config_;
    const MachineCatalog& catalog_;
    MachineInventory& inventory_;
    const JobTable& job_table_;
    const RuntimeEstimates& estimates_;
    const QuotaAccounting& quota_accounting_;
    DemandForecast demand_;
    const std::uint64_t term_;
    std::uint64_t next_request_ = 0;
    std::map<PoolKey, TimePoint> refused_until_;
};

}  // namespace bendspindle::core
