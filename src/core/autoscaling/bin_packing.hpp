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
#include "core/model/job_spec.hpp"
#include "core/model/resources.hpp"

namespace bendspindle::core {

/// Identifies a pool: the machines of one type and zone, either all spot or all on-demand.
struct PoolKey {
    std::string type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const PoolKey&) const = default;
};

/// Packs demands onto the existing machines, and onto new ones when those are full. The catalog and
/// the machines must outlive the object.
class BinPacking {
  public:
    /// The most machines that one request to the cloud may ask for.
    static constexpr std::uint32_t max_machines_per_request = 50;

    struct Pool {
        PoolKey key;
        std::size_t type = 0;
        bool refused = false;
        std::uint32_t machine_count = 0;
        std::uint32_t to_scale_out = 0;
    };

    explicit BinPacking(const MachineCatalog& catalog) : catalog_(catalog) {}

    void add_pool(PoolKey key, std::size_t type, bool refused) {
        if (!index_.try_emplace(key, pools_.size()).second) return;
        pools_.push_back({std::move(key), type, refused, 0, 0});
    }
    void add(const Machine& machine) {
        const PoolKey key{machine.identity.type_name, machine.identity.zone, machine.identity.spot};
        // The catalog may no longer offer a type in a zone where machines of that type still run.
        add_pool(key, machine.identity.type, false);
        const auto pool = index_.at(key);
        ++pools_[pool].machine_count;
        // Guards against left_waiting: a machine whose heartbeat is full of exited tasks that are
        // not acknowledged is no capacity, and is released once it is empty.
        auto free = catalog_[machine.identity.type].size;
        free.heartbeat_bytes -= machine.untracked.unacknowledgeable_bytes;
        bins_.push_back({&machine, pool, free, false});
    }
    /// Packs a running task onto its machine, which must be the one added last. All such tasks must
    /// be packed before any demand; they count as part of the demand of their job.
    void pin_task(const JobSpec& spec) {
        bins_.back().free -= spec.need;
        bins_.back().used = true;
        ++pinned_tasks_[&spec];
    }
    /// Packs the tasks of a job, or of a forecast, that are not pinned.
    void pack(const JobSpec& spec, std::uint32_t tasks, bool is_forecast);
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
        bool same_zone;
        std::optional<std::string> zone;
        std::uint32_t remaining_tasks;
        std::vector<double> price;
        std::vector<bool> may_use;

        bool excluded(const std::string& other) const {
            return same_zone && zone && *zone != other;
        }
    };
    std::uint32_t pinned_count(const JobSpec& spec) const;
    double price_per_task(const JobSpec& spec, const Pool& pool) const;
    static void fill(Bin& bin, PackingState& state) {
        while (state.remaining_tasks > 0 && bin.free.holds(state.spec.need)) {
            bin.free -= state.spec.need;
            bin.used = true;
            --state.remaining_tasks;
        }
    }
    static bool excluded(const Bin& bin, const JobSpec& spec);
    void pack_existing_machines(PackingState& state);
    void pack_new_machines(PackingState& state);
    std::optional<std::size_t> cheapest_pool(const PackingState& state) const;

    const MachineCatalog& catalog_;
    std::vector<Pool> pools_;
    std::map<PoolKey, std::size_t> index_;
    std::vector<Bin> bins_;
    std::unordered_map<const JobSpec*, std::uint32_t> pinned_tasks_;
};

}  // namespace bendspindle::core
