// What to rent and what to return. Demand is packed onto the machines there are; what does not
// fit is rented, and a machine that nothing is packed on is returned once it has idled.
#include <algorithm>
#include <cmath>
#include <limits>

#include "core/controller.hpp"

namespace bendspindle::core {

namespace {

constexpr std::uint32_t most_a_request = 50;
constexpr std::size_t most_a_release = 100;
constexpr Seconds refused_pause{15};
// Part of a deadline's slack that planning counts on.
constexpr double slack_used = 0.6;

}  // namespace

// How many of a job's tasks should run at once: all of a gang; of an array, as many as finish it
// by its deadline, or within about a boot where it has none.
std::uint32_t Controller::wanted(const Job& job, TimePoint now) const {
    const auto left = job.spec.tasks - job.finished;
    if (job.spec.kind != Kind::array || left == 0) return left;
    const auto run = expected_run(job);
    Seconds horizon = run;
    if (job.spec.deadline) {
        const auto age = between(job.accepted_at, now);
        horizon = (*job.spec.deadline - age) * slack_used;
    }
    const double rounds = std::max(1.0, std::floor(horizon / run));
    return static_cast<std::uint32_t>(std::ceil(left / rounds));
}

// The longest boot among the types a job may use: which one is to be had is not known before.
Seconds Controller::boot_of(const JobSpec& spec) const {
    Seconds longest{0};
    for (const auto& type : types_)
        if (type.size.holds(spec.need) &&
            std::any_of(type.zones.begin(), type.zones.end(), [&](const std::string& zone) {
                return allowed(spec, type.name, zone, false);
            }))
            longest = std::max(longest, type.boot);
    return longest;
}

// Machines are kept ready beyond mean demand only for classes that cannot wait for a boot.
double Controller::headroom_for(const ClassStats& stats) const {
    // One job tells nothing of how its class spreads.
    if (stats.arrivals == 1) return 0;
    const auto& spec = stats.typical;
    constexpr double slow_boot = 1.3;
    constexpr double patient_share = 0.5;
    auto wait = Seconds::max();
    if (spec.deadline) wait = *spec.deadline - spec.estimate * stats.ratio;
    const auto aim = config_.objectives.start_within.find(spec.job_class);
    if (aim != config_.objectives.start_within.end()) wait = std::min(wait, aim->second);
    const auto team = std::find_if(config_.teams.begin(), config_.teams.end(),
                                   [&](const Team& t) { return t.name == spec.team; });
    const bool guaranteed =
        team != config_.teams.end() && (team->guaranteed.cpus > 0 || team->guaranteed.gpus > 0);
    if (guaranteed && config_.objectives.guaranteed_start)
        wait = std::min(wait, *config_.objectives.guaranteed_start);
    return config_.headroom * (wait > boot_of(spec) * slow_boot ? patient_share : 1.0);
}

Seconds Controller::patience(const Job& job, TimePoint now) const {
    const auto aim = config_.objectives.start_within.find(job.spec.job_class);
    if (aim == config_.objectives.start_within.end()) return Seconds{0};
    return aim->second * slack_used - between(job.accepted_at, now);
}

// When a class has been silent for longer than its jobs usually are apart, what was learned of it
// is believed less and less: the day's work may be over, and idle machines cost as much as busy
// ones.
double Controller::still_coming(const ClassStats& stats, TimePoint now) const {
    if (stats.arrivals < 2) return 1;
    const auto silent = between(stats.last_arrival, now);
    if (silent <= stats.gap * 2) return 1;
    return stats.gap / (silent - stats.gap);
}

// The part of a typical job of a class that runs at once.
std::uint32_t Controller::wanted_typical(const ClassStats& stats) const {
    if (stats.typical.kind != Kind::array) return stats.typical.tasks;
    if (!stats.typical.deadline) return stats.typical.tasks;
    const double run = std::max(stats.typical.estimate.count() * stats.ratio, 0.5);
    const double rounds =
        std::max(1.0, std::floor(stats.typical.deadline->count() * slack_used / run));
    return static_cast<std::uint32_t>(std::ceil(stats.typical.tasks / rounds));
}

void Controller::learn_demand(const std::map<std::string, Demand>& demand, TimePoint now) {
    if (!acting_since_) acting_since_ = counted_until_ = now;
    const auto counted = between(counted_until_, now);
    const double fade = std::exp(-counted / config_.demand_memory);
    counted_ = counted_ * fade + counted;
    counted_until_ = now;
    for (auto& [name, stats] : classes_) {
        stats.recent *= fade;
        const auto it = demand.find(name);
        const double value = it == demand.end() ? 0 : it->second.wanted;
        if (!stats.seen) {
            stats.seen = true;
            stats.mean = value;
            stats.last = now;
            continue;
        }
        const double passed = between(stats.last, now).count();
        stats.last = now;
        const double weight = 1 - std::exp(-passed / config_.demand_memory.count());
        stats.mean += (value - stats.mean) * weight;
    }
}

// What a class will want when a machine rented now is up: what waits, what still runs then, and
// what arrives until then, at the rate of late. In steady times that is what it wants now; while
// work builds up, the mean of the past is behind by more than a boot.
double Controller::forecast(const ClassStats& stats, const Demand& demand) const {
    constexpr Seconds least_counted{10};
    if (counted_ < least_counted || stats.run <= Seconds{0}) return 0;
    const auto run = stats.run * stats.ratio;
    const double stays = std::exp(-boot_of(stats.typical) / run);
    // One arrival tells nothing of a rate.
    const double arrived = std::max(stats.recent - 1, 0.0);
    const double comes = arrived / counted_.count() * stats.tasks * run.count();
    return demand.waiting + (demand.wanted - demand.waiting) * stays + comes * (1 - stays);
}

RentPlan Controller::plan_renting(TimePoint now) {
    RentPlan plan;
    if (!types_known()) return plan;

    struct Want {
        const JobSpec* spec;
        std::uint32_t tasks;
        bool expected;  // learned, not asked for yet
        int rank;
    };
    std::vector<Want> wants;
    std::map<std::string, Demand> demand;
    std::map<std::string, std::uint32_t> asked;
    const auto standing = this->standing();
    // Tasks that fill a machine for a gang, by when they are expected to end.
    struct Ending {
        Seconds in;
        const Job* job;
        std::uint32_t index;
    };
    std::vector<Ending> ending;
    for (const auto& [serial, job] : jobs_)
        for (const auto& [index, placement] : job->placed)
            if (job->spec.kind == Kind::gang && placement.stage == Placement::Stage::on &&
                usable(machines_.at(placement.machine), now))
                ending.push_back({remaining(*job, placement, now), job.get(), index});
    std::sort(ending.begin(), ending.end(),
              [](const Ending& a, const Ending& b) { return a.in < b.in; });
    for (const auto& [serial, job] : jobs_) {
        if (job->over() || !job->durable) continue;
        auto n = wanted(*job, now);
        const auto allowed_now = room_in_limit(*job, standing) +
                                 static_cast<std::uint32_t>(job->placed.size());
        n = std::min(n, allowed_now);
        classes_[job->spec.job_class].typical = job->spec;
        auto& wanted_now = demand[job->spec.job_class];
        wanted_now.wanted += n;
        wanted_now.waiting += n - std::min(n, static_cast<std::uint32_t>(job->placed.size()));
        asked[job->spec.job_class] += n;
        if (n == 0) continue;
        // A machine that frees up before the job's start is due serves it as well as a new one.
        if (job->spec.kind == Kind::gang && job->spec.tasks == 1 && job->placed.empty()) {
            const auto slot = std::find_if(ending.begin(), ending.end(), [&](const Ending& e) {
                return e.in < patience(*job, now) && e.job->spec.need.holds(job->spec.need) &&
                       allowed(job->spec, machines_.at(e.job->placed.at(e.index).machine));
            });
            if (slot != ending.end()) {
                slot->in += expected_run(*job);
                std::sort(ending.begin(), ending.end(),
                          [](const Ending& a, const Ending& b) { return a.in < b.in; });
                continue;
            }
        }
        wants.push_back({&job->spec, n, false, rank_of(*job, standing)});
    }
    learn_demand(demand, now);
    for (const auto& [name, stats] : classes_) {
        // Jobs arrive on their own, so the spread of demand in whole jobs is about that of counts.
        const double a_job = std::max(1.0, static_cast<double>(wanted_typical(stats)));
        const auto asks = demand.contains(name) ? demand.at(name) : Demand{};
        const double mean =
            std::max(stats.mean, forecast(stats, asks)) * still_coming(stats, now);
        const auto target = static_cast<std::uint32_t>(
            std::floor(mean + headroom_for(stats) * std::sqrt(mean * a_job) + 0.5));
        const auto have = asked.contains(name) ? asked.at(name) : 0;
        if (target > have) wants.push_back({&stats.typical, target - have, true, 1000});
    }
    // Those with the fewest choices are packed first: what may not use spot machines, then what
    // needs the most of a machine.
    std::stable_sort(wants.begin(), wants.end(), [](const Want& a, const Want& b) {
        if (a.expected != b.expected) return b.expected;
        if (a.spec->spot != b.spec->spot) return b.spec->spot;
        if (a.spec->need.gpus != b.spec->need.gpus) return a.spec->need.gpus > b.spec->need.gpus;
        return a.rank < b.rank;
    });

    // Machines of one type, zone and kind are one pool: what is decided for a pool is decided once.
    struct Pool {
        PoolKey key;
        std::size_t type = 0;
        bool refused = false;
        std::uint32_t have = 0;
        std::uint32_t to_rent = 0;
    };
    std::vector<Pool> pools;
    std::map<PoolKey, std::size_t> pool_index;
    const auto pool_of = [&](const std::string& zone, std::size_t type, bool spot) {
        const PoolKey key{types_[type].name, zone, spot};
        const auto [it, fresh] = pool_index.try_emplace(key, pools.size());
        if (fresh) {
            const auto pause = no_capacity_until_.find(key);
            const bool refused = pause != no_capacity_until_.end() && pause->second > now;
            pools.push_back({key, type, refused, 0, 0});
        }
        return it->second;
    };
    for (std::size_t t = 0; t < types_.size(); ++t)
        for (const auto& z : types_[t].zones)
            for (const bool spot : {true, false}) pool_of(z, t, spot);

    struct Bin {
        const Machine* machine = nullptr;  // null: to be rented
        std::size_t pool = 0;
        Resources free;
        bool used = false;
    };
    std::vector<Bin> bins;
    for (const auto& [name, machine] : machines_) {
        if (machine.draining() || !machine.type_known) continue;
        if (machine.reported && between(machine.last_report, now) > config_.workers.lease) continue;
        const auto pool = pool_of(machine.zone, machine.type, machine.spot);
        ++pools[pool].have;
        bins.push_back({&machine, pool, types_[machine.type].size, false});
    }

    // The price of one task on a machine of this kind, with what the task leaves unused of it.
    const auto price_a_task = [&](const JobSpec& spec, const Pool& pool) {
        const auto& t = types_[pool.type];
        double fit = std::numeric_limits<double>::max();
        if (spec.need.cpus > 0) fit = std::min(fit, std::floor(t.size.cpus / spec.need.cpus));
        if (spec.need.gpus > 0) fit = std::min(fit, std::floor(t.size.gpus / spec.need.gpus));
        if (spec.need.memory_gb > 0)
            fit = std::min(fit, std::floor(t.size.memory_gb / spec.need.memory_gb));
        return (pool.key.spot ? t.spot_price : t.price) / std::max(fit, 1.0);
    };

    for (const auto& want : wants) {
        const auto& spec = *want.spec;
        std::optional<std::string> zone = spec.zone;
        const bool together = spec.one_zone && spec.kind == Kind::gang && spec.tasks > 1;
        std::vector<double> price(pools.size());
        std::vector<bool> may_use(pools.size());
        for (std::size_t p = 0; p < pools.size(); ++p) {
            const auto& key = pools[p].key;
            price[p] = price_a_task(spec, pools[p]);
            may_use[p] = allowed(spec, key.type, key.zone, key.spot) &&
                         suits(spec, types_[pools[p].type]);
        }
        std::vector<std::size_t> order;
        for (std::size_t b = 0; b < bins.size(); ++b)
            if (may_use[bins[b].pool] && bins[b].free.holds(spec.need)) order.push_back(b);
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            const auto price_a = price[bins[a].pool];
            const auto price_b = price[bins[b].pool];
            if (price_a != price_b) return price_a < price_b;
            return bins[a].used && !bins[b].used;
        });
        std::uint32_t left = want.tasks;
        for (const auto b : order) {
            if (left == 0) break;
            auto& bin = bins[b];
            const auto& bin_zone = pools[bin.pool].key.zone;
            if (together && zone && *zone != bin_zone) continue;
            while (left > 0 && bin.free.holds(spec.need)) {
                bin.free -= spec.need;
                bin.used = true;
                --left;
                if (together) zone = bin_zone;
            }
        }
        while (left > 0) {
            // Rent the kind that runs one task for the least, of those not refused lately.
            std::optional<std::size_t> best;
            for (std::size_t p = 0; p < pools.size(); ++p) {
                const auto& pool = pools[p];
                if (pool.refused || !may_use[p] || !types_[pool.type].size.holds(spec.need))
                    continue;
                // Ordinary machines are not kept ahead of work that spot ones can do.
                if (want.expected && spec.spot && !pool.key.spot) continue;
                if (together && zone && *zone != pool.key.zone) continue;
                if (!best || price[p] < price[*best] ||
                    (price[p] == price[*best] && pool.have < pools[*best].have))
                    best = p;
            }
            if (!best) break;
            auto& pool = pools[*best];
            ++pool.to_rent;
            ++pool.have;
            Bin bin{nullptr, *best, types_[pool.type].size, true};
            while (left > 0 && bin.free.holds(spec.need)) {
                bin.free -= spec.need;
                --left;
            }
            if (together) zone = pool.key.zone;
            bins.push_back(bin);
            if (pool.to_rent >= most_a_request) break;
        }
    }

    for (const auto& pool : pools) {
        if (pool.to_rent == 0) continue;
        RentRequest request;
        // The epoch makes the name unique: it is never used by another steward.
        request.request = "r-" + std::to_string(epoch_) + "-" + std::to_string(++next_request_);
        request.type = pool.key.type;
        request.zone = pool.key.zone;
        request.spot = pool.key.spot;
        request.count = std::min(pool.to_rent, most_a_request);
        plan.rent.push_back(request);
    }

    std::set<std::string> wanted_names;
    for (const auto& bin : bins)
        if (bin.machine && bin.used) wanted_names.insert(bin.machine->name);
    for (auto& [name, machine] : machines_) {
        const bool paid = between(machine.first_seen, now) > config_.least_paid;
        if (wanted_names.contains(name))
            machine.unwanted_since.reset();
        else if (!machine.unwanted_since)
            machine.unwanted_since = now;
        // Guard against machines that are dear and never empty: small tasks kept GPU machines busy
        // all day that no GPU work wanted, and they were never given back.
        machine.closing = paid && machine.unwanted_since &&
                          between(*machine.unwanted_since, now) > config_.idle_return;
        const bool idle = machine.reported && machine.confirmed && machine.held.empty() &&
                          (machine.closing ||
                           between(machine.idle_since, now) > config_.idle_return);
        if (!machine.releasing && !wanted_names.contains(name) && paid && idle)
            machine.releasing = true;
        if (machine.releasing && plan.release.size() < most_a_release)
            plan.release.push_back(name);
    }
    return plan;
}

void Controller::rented(const RentRequest& request, const std::vector<std::string>& names,
                        TimePoint now) {
    if (names.size() < request.count)
        no_capacity_until_[{request.type, request.zone, request.spot}] =
            later(now, refused_pause);
    for (const auto& name : names) {
        if (gone_.contains(name)) continue;
        auto [it, fresh] = machines_.try_emplace(name);
        if (!fresh) continue;
        auto& machine = it->second;
        machine.name = name;
        machine.type_name = request.type;
        if (const auto type = type_index_.find(request.type); type != type_index_.end()) {
            machine.type = type->second;
            machine.type_known = true;
        }
        machine.zone = request.zone;
        machine.spot = request.spot;
        machine.first_seen = machine.last_report = machine.idle_since = now;
    }
}

}  // namespace bendspindle::core
