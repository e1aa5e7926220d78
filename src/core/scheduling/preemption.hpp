/// Preemption: finds for waiting jobs whom to stop, where, and at what cost, and binds them there.
/// Called by `PlacementCycle` after DSMF. A victim with a checkpoint gets time to save; what was
/// preempted for keeps its place meanwhile (`Assignment::reserved_until`).
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

/// What decides who may preempt whom. Equal for many jobs, so a cycle compares few of them. The
/// names are the job's own, and live as long as it.
struct PreemptionEligibility {
    Priority priority = Priority::low;
    bool guaranteed = false;
    bool starved = false;  // waits too long already for what its team is guaranteed
    bool under_minimum_share =
        false;                     // within the fair-share minimum of a class or team that starves
    bool class_protected = false;  // runs within its class's minimum, which starves
    bool team_protected = false;
    std::string_view team;
    std::string_view job_class;

    /// Whether a job so placed may preempt the other.
    [[nodiscard]] bool may_stop(const PreemptionEligibility& other) const;
    auto operator<=>(const PreemptionEligibility&) const = default;
};

/// A task to be stopped; `cost` in seconds of lost work.
struct Victim {
    Job* job = nullptr;
    std::uint32_t index = 0;
    double cost = 0;
};

/// A place for one task on one machine, and who is to be stopped for it; nobody, if it is free.
struct PreemptionPlan {
    Machine* machine = nullptr;
    std::vector<Victim> victims;
    double cost = 0;
};

/// One job's search for victims. Plans that it has handed out are taken as carried out by the next.
/// Must not outlive what it was given.
class VictimSearch {
  public:
    VictimSearch(const Job& job, const QuotaSnapshot& quota, const MachineCatalog& catalog,
                 const MachineInventory& inventory, const std::vector<Machine*>& candidates,
                 TimePoint now);
    /// The cheapest plans for up to `want` tasks, in one zone or anywhere. Forgets earlier ones.
    [[nodiscard]] std::vector<PreemptionPlan> plans(const std::optional<std::string>& zone,
                                                    std::uint32_t want);
    /// Of a job whose tasks must be in one zone: where most of them fit, at the least cost.
    [[nodiscard]] std::vector<PreemptionPlan> plans_in_best_zone(
        const std::vector<std::string>& zones, std::uint32_t want);

  private:
    std::optional<PreemptionPlan> plan_on(Machine& machine) const;
    std::vector<Victim> victims_on(const Machine& machine) const;
    double cost_of_stopping(const Job& other, const Assignment& assignment) const;
    double cost_of_fetching(const Machine& machine) const;
    void take(const PreemptionPlan& plan);

    const Job& job_;
    const QuotaSnapshot& quota_;
    const MachineCatalog& catalog_;
    const MachineInventory& inventory_;
    const std::vector<Machine*>& candidates_;
    const TimePoint now_;
    const PreemptionEligibility eligibility_;
    std::set<TaskKey> chosen_;
    std::map<const Machine*, Resources> planned_;
};

/// What it was given must outlive it.
class Preemption {
  public:
    Preemption(const Config& config, const MachineCatalog& catalog, MachineInventory& inventory,
               JobTable& job_table, const RuntimeEstimates& estimates)
        : config_(config),
          catalog_(catalog),
          inventory_(inventory),
          job_table_(job_table),
          estimates_(estimates) {}

    /// `waiting` in the order of DSMF: what it could not bind. `reserved`: machines that are kept
    /// for gangs within a fair-share minimum; only such work preempts there.
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
