/// Owner of the teams' limits and guarantees: what each team uses, who is within its guarantee, and
/// what that says of the order in which jobs go. Asked by the placement cycle and by the autoscaler
/// for a snapshot each; keeps nothing between them.
///
/// No team is ever beyond its limit (rule quota): where it is not known whose work runs, all of it
/// counts against every team.
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

/// The teams' accounts at one moment; decisions taken since are entered with `take`.
class QuotaSnapshot {
  public:
    QuotaSnapshot(const Config& config, Capacity capacity)
        : config_(config), capacity_(std::move(capacity)) {}

    /// How many more of the job's tasks its team's limit allows now.
    [[nodiscard]] std::uint32_t remaining_tasks(const Job& job) const;
    /// Whether the job is within its team's guarantee.
    [[nodiscard]] bool guaranteed(const Job& job) const { return guaranteed_.contains(job.serial); }
    /// Whether the job goes first, to fill the fair-share minimum of a class or team that starves
    /// (fair_share/minimum_share).
    [[nodiscard]] bool under_minimum_share(const Job& job) const {
        return under_minimum_share_.contains(job.serial);
    }
    /// Whether it runs within the minimum of its class, or team, while that starves: others may not
    /// preempt it.
    [[nodiscard]] bool class_protected(const Job& job) const {
        return class_protected_.contains(job.serial);
    }
    [[nodiscard]] bool team_protected(const Job& job) const {
        return team_protected_.contains(job.serial);
    }
    /// Of the machines that the job may use, the part that this many of its tasks take.
    [[nodiscard]] double share(const Job& job, std::size_t tasks) const {
        return capacity_.share(job.spec, tasks);
    }
    /// The exceptions to the order of DSMF, lower goes first: services, fair-share minimums, work
    /// within its team's guarantee, then the order in which preemption would decide
    /// (docs/design.md).
    [[nodiscard]] int rank(const Job& job) const;
    /// One more of its tasks was bound.
    void take(const Job& job) { use_[job.spec.team] += job.spec.need; }

  private:
    friend class QuotaAccounting;
    const Config& config_;
    std::map<std::string, Resources> use_;
    Capacity capacity_;
    std::unordered_set<std::uint64_t> guaranteed_;  // serials
    std::unordered_map<std::uint64_t, int>
        under_minimum_share_;  // serial -> rank, the oldest first
    std::unordered_set<std::uint64_t> class_protected_;
    std::unordered_set<std::uint64_t> team_protected_;
};

/// What it was given must outlive it.
class QuotaAccounting {
  public:
    QuotaAccounting(const Config& config, const MachineCatalog& catalog,
                    const MachineInventory& inventory, const JobTable& job_table)
        : config_(config), catalog_(catalog), inventory_(inventory), job_table_(job_table) {}
    /// The accounts as of now.
    [[nodiscard]] QuotaSnapshot snapshot(TimePoint now) const;

  private:
    void fill_minimum_shares(QuotaSnapshot& quota, TimePoint now) const;

    const Config& config_;
    const MachineCatalog& catalog_;
    const MachineInventory& inventory_;
    const JobTable& job_table_;
};

}  // namespace bendspindle::core
