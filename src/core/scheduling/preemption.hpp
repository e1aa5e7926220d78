/// Preemption: selects the victims of waiting jobs by cost, stops them and binds the waiting jobs
/// to their machines. Called by `PlacementCycle` after DSMF. A victim that saves checkpoints gets
/// time to save; meanwhile, the preempting task keeps its bind (`Assignment::reserved_until`).
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/resources.hpp"
#include "core/model/time.hpp"
#include "core/scheduling/quota_accounting.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

/// The properties that decide which jobs may preempt which others. Many jobs have equal properties,
/// so a cycle compares only the distinct ones. The names refer to the strings of the job, which
/// must outlive this object.
struct PreemptionEligibility {
    Priority priority = Priority::low;
    bool guaranteed = false;
    bool starved = false;              // has waited too long within its team's guarantee
    bool under_minimum_share = false;  // fills the fair-share minimum of a starving class or team
    bool class_protected = false;      // runs within the minimum of its class, which starves
    bool team_protected = false;       // runs within the minimum of its team, which starves
    std::string_view team;
    std::string_view job_class;

    /// Returns whether a job with these properties may preempt a job with the other's.
    [[nodiscard]] bool may_preempt(const PreemptionEligibility& other) const;
    auto operator<=>(const PreemptionEligibility&) const = default;
};

/// A task to be stopped. `cost` is the weighted loss of work, in seconds.
struct Victim {
    Job* job = nullptr;
    std::uint32_t index = 0;
    double cost = 0;
};

/// A plan to run one task on a machine, and the victims to stop for it; none if the resources are
/// free.
struct PreemptionPlan {
    Machine* machine = nullptr;
    std::vector<Victim> victims;
    double cost = 0;
};

/// The search for victims of one job. Each plan assumes that the previous plans of the same call
/// are carried out. The constructor's arguments must outlive the object.
class VictimSearch {
  public:
    VictimSearch(const Job& job, const QuotaSnapshot& quota, const MachineCatalog& catalog,
                 const MachineInventory& inventory, const std::vector<Machine*>& candidates,
                 TimePoint now);
    /// Returns the cheapest plans for up to `tasks_to_place` tasks, in the given zone or, without
    /// one, in all zones. Discards the plans of earlier calls.
    [[nodiscard]] std::vector<PreemptionPlan> plans(const std::optional<std::string>& zone,
                                                    std::uint32_t tasks_to_place);
    /// Returns the plans for a job whose tasks must run in one zone: those of the zone with the
    /// most plans, and among such zones, with the lowest cost.
    [[nodiscard]] std::vector<PreemptionPlan> plans_in_best_zone(
        const std::vector<std::string>& zones, std::uint32_t tasks_to_place);

  private:
    std::optional<PreemptionPlan> plan_on(Machine& machine) const;
    std::vector<Victim> victims_on(const Machine& machine) const;
    double cost_of_stopping(const Job& other, const Assignment& assignment) const;
    double cost_of_fetching(const Machine& machine) const;
    void assume_carried_out(const PreemptionPlan& plan);

    const Job& job_;
    const QuotaSnapshot& quota_;
    const MachineCatalog& catalog_;
    const MachineInventory& inventory_;
    const std::vector<Machine*>& candidates_;
    const TimePoint now_;
    const PreemptionEligibility eligibility_;
    std::set<TaskKey> chosen_victims_;
    std::map<const Machine*, Resources> planned_usage_;
};

/// Preempts running tasks for waiting jobs. The constructor's arguments must outlive the object.
class Preemption {
  public:
    Preemption(const Config& config, const MachineCatalog& catalog, MachineInventory& inventory,
               JobTable& job_table, const RuntimeEstimates& estimates)
        : config_(config),
          catalog_(catalog),
          inventory_(inventory),
          job_table_(job_table),
          estimates_(estimates) {}

    /// Preempts for the jobs of `waiting`, which DSMF could not bind completely, in that order.
    /// Only jobs under a fair-share minimum preempt on the machines in `reserved`, which are
    /// reserved for gangs under such a minimum.
    void preempt_for(const std::vector<Job*>& waiting, const std::set<const Machine*>& reserved,
                     QuotaSnapshot& quota, TimePoint now);

  private:
    std::vector<PreemptionPlan> plans_for(const Job& job, const QuotaSnapshot& quota,
                                          const std::vector<Machine*>& candidates,
                                          TimePoint now) const;
    void carry_out(Job& job, const std::vector<PreemptionPlan>& plans, QuotaSnapshot& quota,
                   TimePoint now);

    const Config& config_;
    const MachineCatalog& catalog_;
    MachineInventory& inventory_;
    JobTable& job_table_;
    const RuntimeEstimates& estimates_;
};

}  // namespace bendspindle::core
