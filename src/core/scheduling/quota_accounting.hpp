/// Accounting of team quotas: the usage of each team, the jobs within a guarantee, and the
/// resulting scheduling rank of each job. The placement cycle and the autoscaler each take a
/// snapshot; `QuotaAccounting` keeps no state between snapshots.
///
/// No team ever exceeds its limit (rule quota): resources whose team is unknown count against every
/// team.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/model/resources.hpp"
#include "core/model/time.hpp"
#include "core/scheduling/capacity.hpp"

namespace bendspindle::core {

/// The usage of all teams at one point in time. Tasks bound after that are added with
/// `add_bound_task`.
class QuotaSnapshot {
  public:
    QuotaSnapshot(const Config& config, Capacity capacity)
        : config_(config), capacity_(std::move(capacity)) {}

    /// Returns how many more tasks of the job the limit of its team allows.
    [[nodiscard]] std::uint32_t remaining_tasks(const Job& job) const;
    /// Returns whether the job is within its team's guarantee.
    [[nodiscard]] bool guaranteed(const Job& job) const { return guaranteed_.contains(job.serial); }
    /// Returns whether the job fills the fair-share minimum of a class or team, and is therefore
    /// scheduled before the usual order (fair_share/minimum_share).
    [[nodiscard]] bool under_minimum_share(const Job& job) const {
        return under_minimum_share_.contains(job.serial);
    }
    /// Returns whether the job runs within the minimum of its class while that class starves: jobs
    /// of other classes may not preempt it.
    [[nodiscard]] bool class_protected(const Job& job) const {
        return class_protected_.contains(job.serial);
    }
    /// Returns whether the job runs within the minimum of its team while that team starves: jobs of
    /// other teams may not preempt it.
    [[nodiscard]] bool team_protected(const Job& job) const {
        return team_protected_.contains(job.serial);
    }
    /// Returns the share that `tasks` tasks of the job use of the machines allowed for the job.
    [[nodiscard]] double share(const Job& job, std::size_t tasks) const {
        return capacity_.share(job.spec, tasks);
    }
    /// Returns the job's rank, which precedes the makespan in the scheduling order. Lower ranks are
    /// scheduled first: services, then jobs under a fair-share minimum, jobs within their team's
    /// guarantee, and all other jobs. The last two are further ordered by priority, as in
    /// preemption (docs/design.md).
    [[nodiscard]] int rank(const Job& job) const;
    /// Adds a task of the job that was bound after the snapshot.
    void add_bound_task(const Job& job) { usage_[job.spec.team] += job.spec.need; }

  private:
    friend class QuotaAccounting;
    const Config& config_;
    std::map<std::string, Resources> usage_;
    Capacity capacity_;
    std::unordered_set<std::uint64_t> guaranteed_;  // job serials
    // Ranks by job serial; older jobs have lower ranks.
    std::unordered_map<std::uint64_t, int> under_minimum_share_;
    std::unordered_set<std::uint64_t> class_protected_;
    std::unordered_set<std::uint64_t> team_protected_;
};

/// Takes snapshots of the quota usage. The constructor's arguments must outlive the object.
class QuotaAccounting {
  public:
    QuotaAccounting(const Config& config, const MachineCatalog& catalog,
                    const MachineInventory& inventory, const JobTable& job_table)
        : config_(config), catalog_(catalog), inventory_(inventory), job_table_(job_table) {}
    /// Returns the usage of all teams at `now`.
    [[nodiscard]] QuotaSnapshot snapshot(TimePoint now) const;

  private:
    void assign_minimum_share_ranks(QuotaSnapshot& quota, TimePoint now) const;

    const Config& config_;
    const MachineCatalog& catalog_;
    const MachineInventory& inventory_;
    const JobTable& job_table_;
};

}  // namespace bendspindle::core
