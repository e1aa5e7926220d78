/// What to scale out and what to scale in. Demand is packed onto the machines there are; what does
/// not fit is scaled out, and a machine that nothing is packed on is released once it has idled.
/// Called by `Controller`; it plans, and the cloud client carries out and reports back. Owner of
/// the learned demand and of the pools that were refused lately; writes the scale-in fields of
/// `Machine::lifecycle`.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

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

/// Requests to the cloud. Machines in `release` are marked as releasing, and listed again until
/// their release is answered.
struct ScalingPlan {
    std::vector<ScaleOutRequest> scale_out;
    std::vector<std::string> release;
    // Of those: what must be gone even if another controller leads.
    std::vector<std::string> overdue;
};

/// Machines of one type, zone and kind: what is decided for a pool is decided once.
struct PoolKey {
    std::string type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const PoolKey&) const = default;
};

class BinPacking;

/// Plans; see above. One for each term: request names hold the term.
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

    /// A job was accepted.
    void arrived(const JobSpec& spec, TimePoint now) { demand_.arrived(spec, now); }
    /// What to ask of the cloud now.
    [[nodiscard]] ScalingPlan plan(TimePoint now);
    /// The cloud has answered a scale-out. Fewer machines than asked for: the pool rests a while.
    void scaled_out(const ScaleOutRequest& request, const std::vector<std::string>& names,
                    TimePoint now);

  private:
    // Tasks to find machines for: of a job, or of a class that was learned to ask for them.
    struct Want {
        const JobSpec* spec = nullptr;
        std::uint32_t tasks = 0;
        bool expected = false;  // learned, not asked for yet
        int rank = 0;
    };
    // A gang's task that fills a machine, and when it is expected to end.
    struct ExpectedCompletion {
        Seconds in{0};
        const Job* job = nullptr;
        const Machine* machine = nullptr;
    };
    std::vector<Want> wants(TimePoint now);
    std::vector<ExpectedCompletion> expected_completions(TimePoint now) const;
    bool waits_for_completion(const Job& job, std::vector<ExpectedCompletion>& expected_completions,
                              TimePoint now) const;
    std::uint32_t wanted(const Job& job, TimePoint now) const;
    // How much longer a waiting job may wait for a machine to free up, by its class's objective.
    Seconds start_slack(const Job& job, TimePoint now) const;
    BinPacking pack(const std::vector<Want>& wants, TimePoint now) const;
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
