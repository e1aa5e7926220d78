#include "core/autoscaling/autoscaler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace bendspindle::core {

namespace {

constexpr std::uint32_t max_machines_per_request = 50;
constexpr std::size_t max_machines_per_release = 100;
constexpr Seconds refused_pool_backoff{15};
// Forecast demand ranks after all waiting jobs.
constexpr int forecast_rank = 1000;

}  // namespace

// Packs demands onto the existing machines, and onto new ones when those are full.
class BinPacking {
  public:
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
};

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

void BinPacking::pack(const JobSpec& spec, std::uint32_t tasks, bool is_forecast) {
    PackingState state{
        spec,      is_forecast, spec.one_zone && spec.kind == Kind::gang && spec.tasks > 1,
        spec.zone, tasks,       {},
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

// Returns how many tasks of a job should run at once: all tasks of a gang; for an array, as many as
// are needed to finish it by its deadline, or all of them without a deadline.
std::uint32_t Autoscaler::wanted_tasks(const Job& job, TimePoint now) const {
    // No machines are paid for while a job that has failed on all machines waits for its next
    // attempt.
    if (job.is_suspect() && job.failures.retry_not_before > now) return 0;
    const auto remaining_tasks =
        std::min(job.spec.tasks - job.progress.finished, job.max_concurrent_tasks());
    if (job.spec.kind != Kind::array || remaining_tasks == 0) return remaining_tasks;
    const auto run = estimates_.expected_run(job);
    Seconds horizon = run;
    if (job.spec.deadline)
        horizon = (*job.spec.deadline - between(job.accepted_at, now)) * usable_slack_fraction;
    const double rounds = std::max(1.0, std::floor(horizon / run));
    return static_cast<std::uint32_t>(std::ceil(remaining_tasks / rounds));
}

Seconds Autoscaler::start_slack(const Job& job, TimePoint now) const {
    const auto objective = config_.objectives.start_within.find(job.spec.job_class);
    if (objective == config_.objectives.start_within.end()) return Seconds{0};
    return objective->second * usable_slack_fraction - between(job.accepted_at, now);
}

std::vector<Autoscaler::ExpectedCompletion> Autoscaler::expected_completions(TimePoint now) const {
    std::vector<ExpectedCompletion> out;
    for (const auto& [serial, job] : job_table_.all()) {
        if (job->spec.kind != Kind::gang) continue;
        for (const auto& [index, assignment] : job->assignments) {
            if (assignment.stage != Assignment::Stage::reported) continue;
            const auto& machine = inventory_.at(assignment.machine);
            if (inventory_.usable(machine, now))
                out.push_back({estimates_.remaining(*job, assignment, now), job.get(), &machine});
        }
    }
    std::sort(out.begin(), out.end(),
              [](const ExpectedCompletion& a, const ExpectedCompletion& b) { return a.in < b.in; });
    return out;
}

// Returns whether a machine is expected to become free before the job must start, so that the job
// needs no new machine. If so, adds the job's run time to the expected completion on that machine.
// Applies only to gangs of one task.
bool Autoscaler::waits_for_completion(const Job& job,
                                      std::vector<ExpectedCompletion>& expected_completions,
                                      TimePoint now) const {
    if (job.spec.kind != Kind::gang || job.spec.tasks != 1 || !job.assignments.empty())
        return false;
    const auto slot = std::find_if(
        expected_completions.begin(), expected_completions.end(), [&](const ExpectedCompletion& e) {
            return e.in < start_slack(job, now) && e.job->spec.need.holds(job.spec.need) &&
                   inventory_.allows(job.spec, *e.machine);
        });
    if (slot == expected_completions.end()) return false;
    slot->in += estimates_.expected_run(job);
    std::sort(expected_completions.begin(), expected_completions.end(),
              [](const ExpectedCompletion& a, const ExpectedCompletion& b) { return a.in < b.in; });
    return true;
}

std::vector<Autoscaler::TaskDemand> Autoscaler::collect_demands(TimePoint now) {
    std::vector<TaskDemand> out;
    std::map<std::string, ClassDemand> demand_by_class;
    std::map<std::string, std::uint32_t> requested;
    const auto quota = quota_accounting_.snapshot(now);
    auto completions = expected_completions(now);
    for (const auto& [serial, job] : job_table_.all()) {
        if (job->is_terminal() || !job->record.durable) continue;
        const auto placed = static_cast<std::uint32_t>(job->assignments.size());
        const auto task_count =
            std::min(wanted_tasks(*job, now), quota.remaining_tasks(*job) + placed);
        demand_.set_typical_job(job->spec);
        auto& class_demand = demand_by_class[job->spec.job_class];
        class_demand.wanted += task_count;
        class_demand.waiting += task_count - std::min(task_count, placed);
        requested[job->spec.job_class] += task_count;
        if (task_count == 0 || waits_for_completion(*job, completions, now)) continue;
        out.push_back({&job->spec, task_count, false, quota.rank(*job)});
    }
    demand_.update(demand_by_class, now);
    for (const auto& [name, target] : demand_.targets(demand_by_class, now))
        if (const auto requested_tasks = requested[name]; target.tasks > requested_tasks)
            out.push_back(
                {target.typical_job, target.tasks - requested_tasks, true, forecast_rank});
    // Demands with the fewest options are packed first: jobs that may not use spot machines, then
    // jobs that need more GPUs.
    std::stable_sort(out.begin(), out.end(), [](const TaskDemand& a, const TaskDemand& b) {
        if (a.is_forecast != b.is_forecast) return b.is_forecast;
        if (a.spec->spot != b.spec->spot) return b.spec->spot;
        if (a.spec->need.gpus != b.spec->need.gpus) return a.spec->need.gpus > b.spec->need.gpus;
        return a.rank < b.rank;
    });
    return out;
}

BinPacking Autoscaler::pack_demands(const std::vector<TaskDemand>& demands, TimePoint now) const {
    BinPacking packing(catalog_);
    for (std::size_t t = 0; t < catalog_.types().size(); ++t)
        for (const auto& zone : catalog_[t].zones)
            for (const bool spot : {true, false}) {
                const PoolKey key{catalog_[t].name, zone, spot};
                const auto until = refused_until_.find(key);
                packing.add_pool(key, t, until != refused_until_.end() && until->second > now);
            }
    for (const auto& [name, machine] : inventory_.all()) {
        if (machine.draining() || machine.reachability.inbound_unreachable_since ||
            !machine.identity.type_known)
            continue;
        // A machine that this term has not scaled out proves its existence within two heartbeat
        // intervals, or does not exist.
        if (!MachineInventory::certainly_exists(machine) &&
            between(machine.contact.first_seen, now) > config_.workers.heartbeat * 2)
            continue;
        if (machine.contact.has_reported &&
            between(machine.contact.last_contact, now) > config_.workers.lease)
            continue;
        packing.add(machine);
    }
    for (const auto& demand : demands) packing.pack(*demand.spec, demand.tasks, demand.is_forecast);
    return packing;
}

std::vector<std::string> Autoscaler::scale_in(const BinPacking& packing, TimePoint now) {
    std::vector<std::string> out;
    const auto needed = packing.used_machines();
    for (auto& [name, machine] : inventory_.all()) {
        if (machine.reachability.inbound_unreachable_since) {
            // An unreachable machine is neither capacity nor surplus: the inventory releases such
            // machines, a few at a time.
            if (machine.lifecycle.releasing && out.size() < max_machines_per_release)
                out.push_back(name);
            continue;
        }
        const bool min_paid_time_over =
            between(machine.contact.first_seen, now) > config_.least_paid;
        if (needed.contains(name))
            machine.lifecycle.surplus_since.reset();
        else if (!machine.lifecycle.surplus_since)
            machine.lifecycle.surplus_since = now;
        // Drains expensive machines that are never empty: small tasks kept GPU machines busy all
        // day without any demand for GPUs, so that they were never released.
        machine.lifecycle.draining_for_scale_in =
            min_paid_time_over && machine.lifecycle.surplus_since &&
            between(*machine.lifecycle.surplus_since, now) > config_.idle_return;
        const bool idle = machine.contact.has_reported && machine.fencing.confirmed &&
                          machine.assigned_tasks.empty() &&
                          (machine.lifecycle.draining_for_scale_in ||
                           between(machine.lifecycle.idle_since, now) > config_.idle_return);
        if (!needed.contains(name) && min_paid_time_over && idle)
            machine.lifecycle.releasing = true;
        if (machine.lifecycle.releasing && out.size() < max_machines_per_release)
            out.push_back(name);
    }
    return out;
}

ScalingPlan Autoscaler::plan(TimePoint now) {
    ScalingPlan out;
    if (!catalog_.known()) return out;
    inventory_.compensate_for_own_pause(now);
    const auto packing = pack_demands(collect_demands(now), now);
    for (const auto& pool : packing.pools()) {
        if (pool.to_scale_out == 0) continue;
        ScaleOutRequest request;
        // The term makes the name unique across all leaders.
        request.request = "r-" + std::to_string(term_) + "-" + std::to_string(++next_request_);
        request.type = pool.key.type;
        request.zone = pool.key.zone;
        request.spot = pool.key.spot;
        request.count = std::min(pool.to_scale_out, max_machines_per_request);
        out.scale_out.push_back(std::move(request));
    }
    out.release = scale_in(packing, now);
    for (const auto& name : out.release)
        if (inventory_.must_be_released(inventory_.at(name), now)) out.overdue.push_back(name);
    return out;
}

void Autoscaler::record_scale_out(const ScaleOutRequest& request,
                                  const std::vector<std::string>& names, TimePoint now) {
    if (names.size() < request.count)
        refused_until_[{request.type, request.zone, request.spot}] =
            later(now, refused_pool_backoff);
    inventory_.scaled_out(request, names, now);
}

}  // namespace bendspindle::core
