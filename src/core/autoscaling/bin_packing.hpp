/// Bin packing of the wanted tasks, the basis of a scaling plan: which existing machines are
/// needed, and how many machines of each pool have to be scaled out. Created by `Autoscaler` for
/// each plan.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/cluster/machine.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/config.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/resources.hpp"
#include "core/scheduling/zone_constraint.hpp"

namespace bendspindle::core {

/// Identifies a pool: the machines of one type and zone, either all spot or all on-demand.
struct PoolKey {
    std::string type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const PoolKey&) const = default;
};

/// Tasks that need machines: those of a job, or those that a class is expected to submit.
struct TaskDemand {
    const JobSpec* spec = nullptr;
    std::uint32_t tasks = 0;
    bool is_forecast = false;  // forecast, not submitted yet
    int rank = 0;
};

/// Packs demands onto the existing machines, and onto new ones when those are full. A task is
/// packed only where placement may place it: by the constraints of its job on types, zones and spot
/// machines, and by the zones of the job's other tasks (`ZoneConstraint`). The constructor's
/// arguments and the machines must outlive the object.
class BinPacking {
  public:
    /// The most machines that one request to the cloud may ask for.
    static constexpr std::uint32_t max_machines_per_request = 50;

    struct Pool {
        PoolKey key;
        std::size_t type = 0;
        std::size_t zone = 0;
        bool refused = false;
        std::uint32_t machine_count = 0;
        std::uint32_t to_scale_out = 0;
    };

    BinPacking(const Config& config, const MachineCatalog& catalog)
        : config_(config), catalog_(catalog) {}

    void add_pool(PoolKey key, std::size_t type, bool refused);
    void add(const Machine& machine);
    /// Packs a running task onto its machine, which must be the one added last. All such tasks must
    /// be packed before any demand; they count as part of the demand of their job.
    void pin_task(const JobSpec& spec);
    /// Packs the tasks of a demand that are not pinned.
    void pack(const TaskDemand& demand);
    const std::vector<Pool>& pools() const { return pools_; }
    std::set<std::string> used_machines() const {
        std::set<std::string> out;
        for (const auto& bin : bins_)
            if (bin.machine && bin.used) out.insert(bin.machine->identity.name);
        return out;
    }

  private:
    struct Bin {
        const Machine* machine = nullptr;  // null: a machine to scale out
        std::size_t pool = 0;
        Resources free;
        bool used = false;
    };
    // A demand while it is packed: its remaining tasks, and the price and permission of each pool.
    struct PackingState {
        const JobSpec& spec;
        bool is_forecast;
        std::uint32_t remaining_tasks;
        ZoneConstraint zones;
        std::vector<double> price;
        std::vector<bool> may_use;
    };
    // Running tasks of one job that are packed where they are.
    struct PinnedTasks {
        std::uint32_t count = 0;
        std::vector<std::uint32_t> in_zone;
    };
    PackingState start_packing(const TaskDemand& demand) const;
    double price_per_task(const JobSpec& spec, const Pool& pool) const;
    void fill(Bin& bin, PackingState& state) const;
    static bool has_failed_on(const Bin& bin, const JobSpec& spec);
    static bool may_use(const Bin& bin, const PackingState& state);
    bool may_scale_out(std::size_t pool_index, const PackingState& state) const;
    bool fits_existing_machines(std::size_t zone, const PackingState& state) const;
    void exclude_full_zones(PackingState& state) const;
    void pack_existing_machines(PackingState& state);
    void pack_new_machines(PackingState& state);
    std::optional<std::size_t> cheapest_pool(const PackingState& state) const;

    const Config& config_;
    const MachineCatalog& catalog_;
    std::vector<Pool> pools_;
    std::map<PoolKey, std::size_t> index_;
    std::vector<Bin> bins_;
    std::unordered_map<const JobSpec*, PinnedTasks> pinned_tasks_;
};

}  // namespace bendspindle::core
