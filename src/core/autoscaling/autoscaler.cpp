#include "core/autoscaling/autoscaler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace bendspindle::core {

namespace {

constexpr std::uint32_t max_machines_per_request = 50;
constexpr std::size_t max_machines_per_release = 100;
constexpr Seconds refused_pause{15};
// Learned demand goes behind whatever waits.
constexpr int expected_rank = 1000;

}  // namespace

// Packs wants onto the machines there are, and onto new ones where those are full.
class BinPacking {
  public:
    struct Pool {
        PoolKey key;
        std::size_t type = 0;
        bool refused = false;
        std::uint32_t have = 0;
        std::uint32_t to_scale_out = 0;
    };

    explicit BinPacking(const MachineCatalog& catalog) : catalog_(catalog) {}

    void add_pool(PoolKey key, std::size_t type, bool refused) {
        if (!index_.try_emplace(key, pools_.size()).second) return;
        pools_.push_back({std::move(key), type, refused, 0, 0});
    }
    void add(const Machine& machine) {
        const PoolKey key{machine.identity.type_name, machine.identity.zone, machine.identity.spot};
        // The catalog may have moved a type away from a zone in which machines of it still run.
        add_pool(key, machine.identity.type, false);
        const auto pool = index_.at(key);
        ++pools_[pool].have;
        bins_.push_back({&machine, pool, catalog_[machine.identity.type].size, false});
    }
    void pack(const JobSpec& spec, std::uint32_t tasks, bool expected);
    const std::vector<Pool>& pools() const { return pools_; }
    std::set<std::string> used() const {
        std::set<std::string> out;
        for (const auto& bin : bins_)
            if (bin.machine && bin.used) out.insert(bin.machine->identity.name);
        return out;
    }

  private:
    struct Bin {
        const Machine* machine = nullptr;  // null: to be scaled out
        std::size_t pool = 0;
        Resources free;
        bool used = false;
    };
    // One want on its way: what is left of it, and what its spec says of each pool.
    struct Load {
        const JobSpec& spec;
        bool expected;
        bool together;
        std::optional<std::string> zone;
        std::uint32_t left;
        std::vector<double> price;
        std::vector<bool> may_use;

        bool excluded(const std::string& other) const { return together && zone && *zone != other; }
    };
    double price_a_task(const JobSpec& spec, const Pool& pool) const;
    static void fill(Bin& bin, Load& load) {
        while (load.left > 0 && bin.free.holds(load.spec.need)) {
            bin.free -= load.spec.need;
            bin.used = true;
            --load.left;
        }
    }
    static bool excluded(const Bin& bin, const JobSpec& spec);
    void onto_existing_machines(Load& load);
    void onto_new_machines(Load& load);
    std::optional<std::size_t> cheapest(const Load& load) const;

    const MachineCatalog& catalog_;
    std::vector<Pool> pools_;
    std::map<PoolKey, std::size_t> index_;
    std::vector<Bin> bins_;
};

// The price of one task on a machine of this kind, with what the task leaves unused of it.
double BinPacking::price_a_task(const JobSpec& spec, const Pool& pool) const {
    const auto& type = catalog_[pool.type];
    double fit = std::numeric_limits<double>::max();
    const auto narrow = [&](double need, double size) {
        if (need > 0) fit = std::min(fit, std::floor(size / need));
    };
    narrow(spec.need.cpus, type.size.cpus);
    narrow(spec.need.gpus, type.size.gpus);
    narrow(spec.need.memory_gb, type.size.memory_gb);
    return (pool.key.spot ? type.spot_price : type.price) / std::max(fit, 1.0);
}

void BinPacking::pack(const JobSpec& spec, std::uint32_t tasks, bool expected) {
    Load load{spec,      expected, spec.one_zone && spec.kind == Kind::gang && spec.tasks > 1,
              spec.zone, tasks,    {},
              {}};
    for (const auto& pool : pools_) {
        load.price.push_back(price_a_task(spec, pool));
        load.may_use.push_back(allowed(spec, pool.key.type, pool.key.zone, pool.key.spot) &&
                               catalog_.suits(spec, catalog_[pool.type]));
    }
    onto_existing_machines(load);
    onto_new_machines(load);
}

// Guard against a job that waits for ever: it had failed on one of the machines it needs, was not
// placed there again, and since the machine was there none was scaled out. Of a job that fails
// everywhere that says nothing.
bool BinPacking::excluded(const Bin& bin, const JobSpec& spec) {
    if (!bin.machine || bin.machine->failures.weight_by_job.empty()) return false;
    const auto failed = bin.machine->failures.weight_by_job.find(spec.id);
    return failed != bin.machine->failures.weight_by_job.end() && failed->second >= 1;
}

void BinPacking::onto_existing_machines(Load& load) {
    std::vector<std::size_t> order;
    for (std::size_t b = 0; b < bins_.size(); ++b)
        if (load.may_use[bins_[b].pool] && bins_[b].free.holds(load.spec.need) &&
            !excluded(bins_[b], load.spec))
            order.push_back(b);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const auto price_a = load.price[bins_[a].pool];
        const auto price_b = load.price[bins_[b].pool];
        if (price_a != price_b) return price_a < price_b;
        return bins_[a].used && !bins_[b].used;
    });
    for (const auto b : order) {
        if (load.left == 0) return;
        const auto& zone = pools_[bins_[b].pool].key.zone;
        if (load.excluded(zone)) continue;
        fill(bins_[b], load);
        if (load.together) load.zone = zone;
    }
}

// The kind that runs one task for the least, of those not refused lately.
std::optional<std::size_t> BinPacking::cheapest(const Load& load) const {
    std::optional<std::size_t> best;
    for (std::size_t p = 0; p < pools_.size(); ++p) {
        const auto& pool = pools_[p];
        if (pool.refused || !load.may_use[p]) continue;
        if (!catalog_[pool.type].size.holds(load.spec.need) || load.excluded(pool.key.zone))
            continue;
        // Ordinary machines are not kept ahead of work that spot ones can do.
        if (load.expected && load.spec.spot && !pool.key.spot) continue;
        if (!best || load.price[p] < load.price[*best] ||
            (load.price[p] == load.price[*best] && pool.have < pools_[*best].have))
            best = p;
    }
    return best;
}

void BinPacking::onto_new_machines(Load& load) {
    while (load.left > 0) {
        const auto best = cheapest(load);
        if (!best) return;
        auto& pool = pools_[*best];
        ++pool.to_scale_out;
        ++pool.have;
        Bin bin{nullptr, *best, catalog_[pool.type].size, true};
        fill(bin, load);
        if (load.together) load.zone = pool.key.zone;
        bins_.push_back(bin);
        if (pool.to_scale_out >= max_machines_per_request) return;
    }
}

// How many of a job's tasks should run at once: all of a gang; of an array, as many as finish it
// by its deadline, or within about a boot where it has none.
std::uint32_t Autoscaler::wanted(const Job& job, TimePoint now) const {
    // Machines are not paid for a job that fails everywhere while it waits for its next try.
    if (job.is_suspect() && job.failures.retry_not_before > now) return 0;
    const auto left = std::min(job.spec.tasks - job.progress.finished, job.max_concurrent_tasks());
    if (job.spec.kind != Kind::array || left == 0) return left;
    const auto run = estimates_.expected_run(job);
    Seconds horizon = run;
    if (job.spec.deadline)
        horizon = (*job.spec.deadline - between(job.accepted_at, now)) * slack_used;
    const double rounds = std::max(1.0, std::floor(horizon / run));
    return static_cast<std::uint32_t>(std::ceil(left / rounds));
}

Seconds Autoscaler::start_slack(const Job& job, TimePoint now) const {
    const auto objective = config_.objectives.start_within.find(job.spec.job_class);
    if (objective == config_.objectives.start_within.end()) return Seconds{0};
    return objective->second * slack_used - between(job.accepted_at, now);
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

// A machine that frees up before the job's start is due serves it as well as a new one.
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

std::vector<Autoscaler::Want> Autoscaler::wants(TimePoint now) {
    std::vector<Want> out;
    std::map<std::string, ClassDemand> demand;
    std::map<std::string, std::uint32_t> asked;
    const auto quota = quota_accounting_.snapshot(now);
    auto completions = expected_completions(now);
    for (const auto& [serial, job] : job_table_.all()) {
        if (job->is_terminal() || !job->record.durable) continue;
        const auto placed = static_cast<std::uint32_t>(job->assignments.size());
        const auto n = std::min(wanted(*job, now), quota.remaining_tasks(*job) + placed);
        demand_.note_typical(job->spec);
        auto& wanted_now = demand[job->spec.job_class];
        wanted_now.wanted += n;
        wanted_now.waiting += n - std::min(n, placed);
        asked[job->spec.job_class] += n;
        if (n == 0 || waits_for_completion(*job, completions, now)) continue;
        out.push_back({&job->spec, n, false, quota.rank(*job)});
    }
    demand_.learn(demand, now);
    for (const auto& [name, target] : demand_.targets(demand, now))
        if (const auto have = asked[name]; target.tasks > have)
            out.push_back({target.typical, target.tasks - have, true, expected_rank});
    // Those with the fewest choices are packed first: what may not use spot machines, then what
    // needs the most of a machine.
    std::stable_sort(out.begin(), out.end(), [](const Want& a, const Want& b) {
        if (a.expected != b.expected) return b.expected;
        if (a.spec->spot != b.spec->spot) return b.spec->spot;
        if (a.spec->need.gpus != b.spec->need.gpus) return a.spec->need.gpus > b.spec->need.gpus;
        return a.rank < b.rank;
    });
    return out;
}

BinPacking Autoscaler::pack(const std::vector<Want>& wants, TimePoint now) const {
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
        // One that nobody has scaled out proves to exist within a heartbeat or two, or never does.
        if (!MachineInventory::certainly_exists(machine) &&
            between(machine.contact.first_seen, now) > config_.workers.heartbeat * 2)
            continue;
        if (machine.contact.has_reported &&
            between(machine.contact.last_contact, now) > config_.workers.lease)
            continue;
        packing.add(machine);
    }
    for (const auto& want : wants) packing.pack(*want.spec, want.tasks, want.expected);
    return packing;
}

std::vector<std::string> Autoscaler::scale_in(const BinPacking& packing, TimePoint now) {
    std::vector<std::string> out;
    const auto wanted = packing.used();
    for (auto& [name, machine] : inventory_.all()) {
        if (machine.reachability.inbound_unreachable_since) {
            // No capacity, but no surplus either: the inventory releases it, and few at once.
            if (machine.lifecycle.releasing && out.size() < max_machines_per_release)
                out.push_back(name);
            continue;
        }
        const bool paid = between(machine.contact.first_seen, now) > config_.least_paid;
        if (wanted.contains(name))
            machine.lifecycle.surplus_since.reset();
        else if (!machine.lifecycle.surplus_since)
            machine.lifecycle.surplus_since = now;
        // Guard against machines that are dear and never empty: small tasks kept GPU machines busy
        // all day that no GPU work wanted, and they were never released.
        machine.lifecycle.draining_for_scale_in =
            paid && machine.lifecycle.surplus_since &&
            between(*machine.lifecycle.surplus_since, now) > config_.idle_return;
        const bool idle = machine.contact.has_reported && machine.fencing.confirmed &&
                          machine.assigned_tasks.empty() &&
                          (machine.lifecycle.draining_for_scale_in ||
                           between(machine.lifecycle.idle_since, now) > config_.idle_return);
        if (!wanted.contains(name) && paid && idle) machine.lifecycle.releasing = true;
        if (machine.lifecycle.releasing && out.size() < max_machines_per_release)
            out.push_back(name);
    }
    return out;
}

ScalingPlan Autoscaler::plan(TimePoint now) {
    ScalingPlan out;
    if (!catalog_.known()) return out;
    inventory_.compensate_for_own_pause(now);
    const auto packing = pack(wants(now), now);
    for (const auto& pool : packing.pools()) {
        if (pool.to_scale_out == 0) continue;
        ScaleOutRequest request;
        // The term makes the name unique: no other leader uses it.
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

void Autoscaler::scaled_out(const ScaleOutRequest& request, const std::vector<std::string>& names,
                            TimePoint now) {
    if (names.size() < request.count)
        refused_until_[{request.type, request.zone, request.spot}] = later(now, refused_pause);
    inventory_.scaled_out(request, names, now);
}

}  // namespace bendspindle::core
