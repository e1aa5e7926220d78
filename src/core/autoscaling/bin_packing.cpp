#include "core/autoscaling/bin_packing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bendspindle::core {

// Returns the price per task on a machine of the pool, including resources that stay unused.
double BinPacking::price_per_task(const JobSpec& spec, const Pool& pool) const {
    const auto& type = catalog_[pool.type];
    double tasks_per_machine = std::numeric_limits<double>::max();
    const auto apply_limit = [&](double need, double size) {
        if (need > 0) tasks_per_machine = std::min(tasks_per_machine, std::floor(size / need));
    };
    apply_limit(spec.need.cpus, type.size.cpus);
    apply_limit(spec.need.gpus, type.size.gpus);
    apply_limit(spec.need.memory_gb, type.size.memory_gb);
    apply_limit(spec.need.heartbeat_bytes, type.size.heartbeat_bytes);
    return (pool.key.spot ? type.spot_price : type.price) / std::max(tasks_per_machine, 1.0);
}

std::uint32_t BinPacking::pinned_count(const JobSpec& spec) const {
    const auto pinned = pinned_tasks_.find(&spec);
    return pinned == pinned_tasks_.end() ? 0 : pinned->second;
}

void BinPacking::pack(const JobSpec& spec, std::uint32_t tasks, bool is_forecast) {
    const auto pinned = is_forecast ? 0 : pinned_count(spec);
    PackingState state{spec,
                       is_forecast,
                       spec.one_zone && spec.kind == Kind::gang && spec.tasks > 1,
                       spec.zone,
                       tasks - std::min(tasks, pinned),
                       {},
                       {}};
    for (const auto& pool : pools_) {
        state.price.push_back(price_per_task(spec, pool));
        state.may_use.push_back(allowed(spec, pool.key.type, pool.key.zone, pool.key.spot) &&
                                catalog_.suits(spec, catalog_[pool.type]));
    }
    pack_existing_machines(state);
    pack_new_machines(state);
}

// Prevents a job from waiting forever: a job that had failed on one of the machines that it needs
// was not placed there again, and because that machine counted as capacity, none was scaled out for
// it. The failures of a job that fails on every machine weigh too little to exclude a machine.
bool BinPacking::excluded(const Bin& bin, const JobSpec& spec) {
    if (!bin.machine || bin.machine->failures.weight_by_job.empty()) return false;
    const auto failed = bin.machine->failures.weight_by_job.find(spec.id);
    return failed != bin.machine->failures.weight_by_job.end() && failed->second >= 1;
}

void BinPacking::pack_existing_machines(PackingState& state) {
    std::vector<std::size_t> order;
    for (std::size_t b = 0; b < bins_.size(); ++b)
        if (state.may_use[bins_[b].pool] && bins_[b].free.holds(state.spec.need) &&
            !excluded(bins_[b], state.spec))
            order.push_back(b);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const auto price_a = state.price[bins_[a].pool];
        const auto price_b = state.price[bins_[b].pool];
        if (price_a != price_b) return price_a < price_b;
        return bins_[a].used && !bins_[b].used;
    });
    for (const auto b : order) {
        if (state.remaining_tasks == 0) return;
        const auto& zone = pools_[bins_[b].pool].key.zone;
        if (state.excluded(zone)) continue;
        fill(bins_[b], state);
        if (state.same_zone) state.zone = zone;
    }
}

// Returns the pool with the lowest price per task, among those not recently refused by the cloud.
std::optional<std::size_t> BinPacking::cheapest_pool(const PackingState& state) const {
    std::optional<std::size_t> best;
    for (std::size_t p = 0; p < pools_.size(); ++p) {
        const auto& pool = pools_[p];
        if (pool.refused || !state.may_use[p]) continue;
        if (!catalog_[pool.type].size.holds(state.spec.need) || state.excluded(pool.key.zone))
            continue;
        // On-demand machines are not kept ready for forecast demand that may run on spot machines.
        if (state.is_forecast && state.spec.spot && !pool.key.spot) continue;
        if (!best || state.price[p] < state.price[*best] ||
            (state.price[p] == state.price[*best] &&
             pool.machine_count < pools_[*best].machine_count))
            best = p;
    }
    return best;
}

void BinPacking::pack_new_machines(PackingState& state) {
    while (state.remaining_tasks > 0) {
        const auto best = cheapest_pool(state);
        if (!best) return;
        auto& pool = pools_[*best];
        ++pool.to_scale_out;
        ++pool.machine_count;
        Bin bin{nullptr, *best, catalog_[pool.type].size, true};
        fill(bin, state);
        if (state.same_zone) state.zone = pool.key.zone;
        bins_.push_back(bin);
        if (pool.to_scale_out >= max_machines_per_request) return;
    }
}

}  // namespace bendspindle::core
