#include "core/autoscaling/bin_packing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bendspindle::core {

void BinPacking::add_pool(PoolKey key, std::size_t type, bool refused) {
    if (!index_.try_emplace(key, pools_.size()).second) return;
    const auto zone = config_.zone_index(key.zone);
    pools_.push_back({std::move(key), type, zone, refused, 0, 0});
}

void BinPacking::add(const Machine& machine) {
    const PoolKey key{machine.identity.type_name, machine.identity.zone, machine.identity.spot};
    // The catalog may no longer offer a type in a zone where machines of that type still run.
    add_pool(key, machine.identity.type, false);
    const auto pool = index_.at(key);
    ++pools_[pool].machine_count;
    auto free = catalog_[machine.identity.type].size;
    // Guards against left_waiting: nothing is placed beside tasks of unreadable jobs, nor on a
    // machine whose heartbeat is full of exited tasks that are not acknowledged. The latter is
    // released once it is empty, the former is needed as long as such tasks run there.
    const bool needed = machine.untracked.has_quarantined_tasks;
    if (needed)
        free -= machine.untracked.resources;
    else
        free.heartbeat_bytes -= machine.untracked.unacknowledgeable_bytes;
    bins_.push_back({&machine, pool, free, needed});
}

void BinPacking::pin_task(const JobSpec& spec) {
    auto& bin = bins_.back();
    bin.free -= spec.need;
    bin.used = true;
    auto& pinned = pinned_tasks_[&spec];
    pinned.in_zone.resize(config_.zones.size());
    ++pinned.count;
    const auto zone = pools_[bin.pool].zone;
    if (zone < pinned.in_zone.size()) ++pinned.in_zone[zone];
}

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

// The forecast tasks of a class are packed as those of one job. The tasks of one-task jobs are free
// of each other.
BinPacking::PackingState BinPacking::start_packing(const TaskDemand& demand) const {
    const auto& spec = *demand.spec;
    PackingState state{spec,         demand.is_forecast,
                       demand.tasks, ZoneConstraint::of(spec, config_.zones.size()),
                       {},           {}};
    if (spec.tasks <= 1) state.zones.one_zone = state.zones.spread = false;
    if (demand.is_forecast) state.zones.total_tasks = demand.tasks;
    if (const auto pinned = pinned_tasks_.find(&spec); pinned != pinned_tasks_.end()) {
        state.remaining_tasks -= std::min(state.remaining_tasks, pinned->second.count);
        state.zones.tasks_in_zone = pinned->second.in_zone;
    }
    for (const auto& pool : pools_) {
        state.price.push_back(price_per_task(spec, pool));
        state.may_use.push_back(allowed(spec, pool.key.type, pool.key.zone, pool.key.spot) &&
                                catalog_.suits(spec, catalog_[pool.type]));
    }
    return state;
}

void BinPacking::pack(const TaskDemand& demand) {
    auto state = start_packing(demand);
    if (state.zones.one_zone && !demand.is_forecast) exclude_full_zones(state);
    pack_existing_machines(state);
    pack_new_machines(state);
}

void BinPacking::fill(Bin& bin, PackingState& state) const {
    const auto zone = pools_[bin.pool].zone;
    while (state.remaining_tasks > 0 && state.zones.allows(zone) &&
           bin.free.holds(state.spec.need)) {
        bin.free -= state.spec.need;
        bin.used = true;
        state.zones.add_task(zone);
        --state.remaining_tasks;
    }
}

// Prevents a job from waiting forever: a job that had failed on one of the machines that it needs
// was not placed there again, and because that machine counted as capacity, none was scaled out for
// it. The failures of a job that fails on every machine weigh too little to exclude a machine.
bool BinPacking::has_failed_on(const Bin& bin, const JobSpec& spec) {
    if (!bin.machine || bin.machine->failures.weight_by_job.empty()) return false;
    const auto failed = bin.machine->failures.weight_by_job.find(spec.id);
    return failed != bin.machine->failures.weight_by_job.end() && failed->second >= 1;
}

bool BinPacking::may_use(const Bin& bin, const PackingState& state) {
    return state.may_use[bin.pool] && bin.free.holds(state.spec.need) &&
           !has_failed_on(bin, state.spec);
}

void BinPacking::pack_existing_machines(PackingState& state) {
    std::vector<std::size_t> order;
    for (std::size_t b = 0; b < bins_.size(); ++b)
        if (may_use(bins_[b], state)) order.push_back(b);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const auto price_a = state.price[bins_[a].pool];
        const auto price_b = state.price[bins_[b].pool];
        if (price_a != price_b) return price_a < price_b;
        return bins_[a].used && !bins_[b].used;
    });
    for (const auto b : order) {
        if (state.remaining_tasks == 0) return;
        fill(bins_[b], state);
    }
}

bool BinPacking::may_scale_out(std::size_t pool_index, const PackingState& state) const {
    const auto& pool = pools_[pool_index];
    if (pool.refused || !state.may_use[pool_index]) return false;
    // On-demand machines are not kept ready for forecast demand that may run on spot machines.
    if (state.is_forecast && state.spec.spot && !pool.key.spot) return false;
    return catalog_[pool.type].size.holds(state.spec.need) && state.zones.allows(pool.zone);
}

// Returns whether all remaining tasks fit on the existing machines of the zone.
bool BinPacking::fits_existing_machines(std::size_t zone, const PackingState& state) const {
    auto tasks = state.remaining_tasks;
    for (const auto& bin : bins_) {
        if (tasks == 0) break;
        if (pools_[bin.pool].zone != zone || !may_use(bin, state)) continue;
        for (auto free = bin.free; tasks > 0 && free.holds(state.spec.need); --tasks)
            free -= state.spec.need;
    }
    return tasks == 0;
}

// Guards against left_waiting: machines for a job with `one_zone` were scaled out only in the zone
// of the first machine with room, for as long as the cloud had none there. Zones that cannot take
// all tasks are left out, unless no zone can. Not asked for a forecast: its tasks are of several
// jobs, and idle machines are kept for them also where the cloud has no more.
void BinPacking::exclude_full_zones(PackingState& state) const {
    std::vector<bool> has_room(config_.zones.size(), false);
    for (std::size_t p = 0; p < pools_.size(); ++p)
        if (may_scale_out(p, state)) has_room[pools_[p].zone] = true;
    for (std::size_t zone = 0; zone < has_room.size(); ++zone)
        if (!has_room[zone] && state.zones.allows(zone))
            has_room[zone] = fits_existing_machines(zone, state);
    if (std::find(has_room.begin(), has_room.end(), true) == has_room.end()) return;
    for (std::size_t p = 0; p < pools_.size(); ++p)
        if (pools_[p].zone < has_room.size() && !has_room[pools_[p].zone]) state.may_use[p] = false;
}

// Returns the pool with the lowest price per task, among those not recently refused by the cloud.
std::optional<std::size_t> BinPacking::cheapest_pool(const PackingState& state) const {
    std::optional<std::size_t> best;
    for (std::size_t p = 0; p < pools_.size(); ++p) {
        if (!may_scale_out(p, state)) continue;
        if (!best || state.price[p] < state.price[*best] ||
            (state.price[p] == state.price[*best] &&
             pools_[p].machine_count < pools_[*best].machine_count))
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
        bins_.push_back(bin);
        if (pool.to_scale_out >= max_machines_per_request) return;
    }
}

}  // namespace bendspindle::core
