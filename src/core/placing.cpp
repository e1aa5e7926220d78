// The placing cycle: DSMF over a snapshot, then preemption for those who may stop others.
#include <algorithm>
#include <cmath>
#include <limits>

#include "core/controller.hpp"

namespace bendspindle::core {

namespace {

// The exceptions to the order of DSMF, each one a field of the rank (docs/design.md):
// services, work within its team's guarantee, then the order in which preemption would decide.
constexpr int service_step = 100;
constexpr int guarantee_step = 10;
// An array may make room for this many of its tasks in one cycle; the next cycle sees the effect.
constexpr std::uint32_t array_preempts_a_cycle = 8;
// A reservation made by preemption outlives the save time of its victims by this.
constexpr Seconds hold_beyond_save{8};
constexpr Seconds silence_beyond_lease{2};

bool limited(double used, double add, double limit) { return limit > 0 && used + add > limit + 1e-6; }

}  // namespace

Controller::Standing Controller::standing() const {
    Standing out;
    for (const auto& team : config_.teams) out.team_use[team.name] = Resources{};
    std::map<std::string, Resources> claimed;
    for (const auto& [serial, job] : jobs_) {
        auto& use = out.team_use[job->spec.team];
        use += job->spec.need * static_cast<double>(job->placed.size());
        if (job->over()) continue;
        auto& claim = claimed[job->spec.team];
        claim += job->spec.need * static_cast<double>(job->spec.tasks - job->finished);
        const auto team = std::find_if(config_.teams.begin(), config_.teams.end(),
                                       [&](const Team& t) { return t.name == job->spec.team; });
        if (team == config_.teams.end()) continue;
        const auto& mine = team->guaranteed;
        if (mine.cpus <= 0 && mine.gpus <= 0) continue;
        if (limited(claim.cpus, 0, mine.cpus) || limited(claim.gpus, 0, mine.gpus)) continue;
        out.guaranteed.insert(serial);
    }
    // Guard against `quota` after a takeover: what an unconfirmed machine runs is not known, so
    // all of it counts against every team.
    for (const auto& [name, machine] : machines_) {
        if (machine.confirmed || !machine.durable || !machine.type_known) continue;
        for (auto& [team, use] : out.team_use) use += types_[machine.type].size;
    }
    return out;
}

int Controller::rank_of(const Job& job, const Standing& standing) const {
    int rank = job.spec.kind == Kind::service ? 0 : service_step;
    if (!standing.guaranteed.contains(job.serial)) rank += guarantee_step;
    return rank + static_cast<int>(Priority::production) - static_cast<int>(job.spec.priority);
}

std::uint32_t Controller::room_in_limit(const Job& job, const Standing& standing) const {
    const auto team = std::find_if(config_.teams.begin(), config_.teams.end(),
                                   [&](const Team& t) { return t.name == job.spec.team; });
    if (team == config_.teams.end()) return 0;
    const auto& use = standing.team_use.at(job.spec.team);
    double most = job.spec.tasks;
    const auto narrow = [&](double limit, double used, double need) {
        if (limit > 0 && need > 0) most = std::min(most, std::floor((limit - used) / need + 1e-6));
    };
    narrow(team->limit.cpus, use.cpus, job.spec.need.cpus);
    narrow(team->limit.gpus, use.gpus, job.spec.need.gpus);
    return most < 1 ? 0 : static_cast<std::uint32_t>(most);
}

void Controller::unbind_all(TimePoint now) {
    for (auto& [serial, job] : jobs_) {
        // A gang that has begun to start keeps its places: its tasks share one attempt.
        if (job->spec.kind == Kind::gang &&
            std::any_of(job->placed.begin(), job->placed.end(), [](const auto& entry) {
                return entry.second.stage != Placement::Stage::bound;
            }))
            continue;
        std::vector<std::uint32_t> strike;
        for (const auto& [index, placement] : job->placed) {
            if (placement.stage != Placement::Stage::bound) continue;
            const auto machine = machines_.find(placement.machine);
            const bool held = placement.held_until > now && machine != machines_.end() &&
                              usable(machine->second, now);
            if (!held) strike.push_back(index);
        }
        const bool whole = job->spec.kind == Kind::gang && !strike.empty();
        if (whole) {
            strike.clear();
            for (const auto& [index, placement] : job->placed) strike.push_back(index);
        }
        for (const auto index : strike) drop(*job, index);
    }
}

dsmf::Machine Controller::view_of(const Machine& machine, TimePoint now) const {
    const auto& type = types_[machine.type];
    dsmf::Machine view;
    view.free = type.size - used(machine);
    view.fetch_gb_per_s = std::max(type.fetch_gb_per_s, 1e-3);
    view.cost = machine.spot ? type.spot_price : type.price;
    const auto zone = std::find(config_.zones.begin(), config_.zones.end(), machine.zone);
    view.zone = static_cast<std::size_t>(zone - config_.zones.begin());
    view.group = (machine.type * config_.zones.size() + view.zone) * 2 + (machine.spot ? 1 : 0);
    view.images.reserve(machine.images.size() + 2);
    for (const auto& entry : machine.images) view.images.push_back({entry.id, Seconds{0}});
    for (const auto& [key, task] : machine.held) {
        const auto& job = *task.job;
        const auto& placement = *task.placement;
        if (placement.stage == Placement::Stage::bound) continue;
        if (placement.stopping) {
            view.releases.push_back({job.spec.save_time, job.spec.need});
        } else {
            view.releases.push_back({remaining(job, placement, now), job.spec.need});
        }
        if (placement.state == TaskState::fetching && job.image != 0 && !view.image(job.image)) {
            const Seconds whole{job.spec.image_gb / view.fetch_gb_per_s};
            const auto left = std::max(whole - between(placement.since, now), Seconds{0.5});
            view.fetch_queue += left;
            view.images.push_back({job.image, view.fetch_queue});
        }
    }
    std::sort(view.releases.begin(), view.releases.end(),
              [](const auto& a, const auto& b) { return a.in < b.in; });
    return view;
}

void Controller::bind(Job& job, std::uint32_t index, Machine& machine, std::uint64_t attempt,
                      int rank, Seconds makespan, Seconds rpm, TimePoint now) {
    Placement placement;
    placement.machine = machine.name;
    placement.attempt = attempt;
    placement.since = now;
    placement.rank = rank;
    placement.makespan = makespan;
    placement.rpm = rpm;
    job.last_attempt = std::max(job.last_attempt, attempt);
    job.set_phase(index, TaskPhase::placed);
    hold(machine, job, index, placement);
    machine.idle_since = now;
}

void Controller::watch_machines(TimePoint now) {
    for (auto& [name, machine] : machines_) {
        if (machine.releasing) continue;
        const auto silent = between(machine.last_report, now);
        const bool heard = machine.reported || machine.durable;
        // A machine taken by the cloud, dead, hung or cut off: only an answered release proves
        // that nothing runs there, so it is asked for once the worker's lease must be over.
        const auto patience = machine.taken_at && *machine.taken_at < now
                                  ? config_.workers.report * 2
                                  : config_.workers.lease + silence_beyond_lease;
        if (heard && machine.reported && silent > patience) machine.releasing = true;
        // Recorded by a former owner and not heard of since the takeover.
        if (machine.durable && !machine.reported && machine.loaded_at != TimePoint{} &&
            between(machine.loaded_at, now) > config_.workers.lease + silence_beyond_lease)
            machine.releasing = true;
        if (!machine.reported && machine.loaded_at == TimePoint{} && machine.type_known &&
            between(machine.first_seen, now) > types_[machine.type].boot * 3.5 + Seconds{10})
            machine.releasing = true;  // never came up
        if (machine.failing && machine.held.empty()) machine.releasing = true;
        // Guard against ran_cancelled: what cannot be reached must be gone in time.
        for (const auto& [key, task] : machine.held) {
            const auto& job = *task.job;
            if (job.final != Final::cancelled) continue;
            const auto since = between(job.cancelled_at, now);
            if (since > config_.workers.cancel * 0.6 && job.cancelled_at != TimePoint{})
                machine.releasing = true;
        }
    }
}

void Controller::cycle(TimePoint now) {
    if (!types_known()) return;
    watch_machines(now);
    for (auto& [name, machine] : machines_)
        if (machine.draining()) stop_for_drain(machine, now);
    unbind_all(now);

    auto standing = this->standing();
    std::vector<Machine*> machines;
    std::vector<dsmf::Machine> views;
    for (auto& [name, machine] : machines_) {
        if (!usable(machine, now) || machine.closing) continue;
        machines.push_back(&machine);
        views.push_back(view_of(machine, now));
        if (views.back().zone >= config_.zones.size()) {
            machines.pop_back();
            views.pop_back();
        }
    }

    std::vector<dsmf::Pipeline> pipelines;
    std::vector<Job*> of;
    for (auto& [serial, job] : jobs_) {
        if (job->over() || !job->durable || job->not_before > now) continue;
        if (job->spec.kind == Kind::gang && !job->placed.empty()) continue;
        auto idle = job->idle_count();
        if (idle == 0 || in_doubt(*job)) continue;
        const auto room = room_in_limit(*job, standing);
        if (job->spec.kind == Kind::gang && room < idle) continue;
        idle = std::min(idle, room);
        if (idle == 0) continue;
        dsmf::EligibleJob eligible;
        eligible.job = of.size();
        eligible.tasks = idle;
        eligible.gang = job->spec.kind == Kind::gang;
        eligible.one_zone = job->spec.one_zone;
        eligible.spread = job->spec.spread;
        eligible.spread_of = job->spec.tasks;
        eligible.in_zone.assign(config_.zones.size(), 0);
        for (const auto& [index, placement] : job->placed) {
            const auto& zone = machines_.at(placement.machine).zone;
            const auto z = std::find(config_.zones.begin(), config_.zones.end(), zone);
            if (z != config_.zones.end())
                ++eligible.in_zone[static_cast<std::size_t>(z - config_.zones.begin())];
        }
        eligible.need = job->spec.need;
        eligible.image = job->image;
        eligible.image_gb = job->spec.image_gb;
        eligible.run = expected_run(*job);
        for (const auto& type : types_)
            for (const auto& zone : config_.zones)
                for (const bool spot : {false, true})
                    eligible.groups.push_back(allowed(job->spec, type.name, zone, spot));
        if (job->errors > 0 && machines.size() > 1)
            for (std::size_t m = 0; m < machines.size(); ++m)
                if (machines[m]->failed_jobs.contains(job->spec.id)) eligible.barred.push_back(m);
        dsmf::Pipeline pipeline;
        pipeline.rank = rank_of(*job, standing);
        pipeline.eligible.push_back(std::move(eligible));
        pipelines.push_back(std::move(pipeline));
        of.push_back(job.get());
    }
    if (pipelines.empty()) return;

    const auto result = dsmf::place(pipelines, views, config_.cycle);
    std::map<Job*, std::uint64_t> attempts;
    for (const auto& decision : result.binds) {
        auto* job = of[decision.job];
        // Limits are counted again bind by bind: pipelines of one team share what is left.
        const std::uint32_t wanted =
            job->spec.kind == Kind::gang && !attempts.contains(job) ? job->spec.tasks : 1;
        if (job->spec.kind == Kind::gang) {
            if (!attempts.contains(job))
                attempts[job] = room_in_limit(*job, standing) >= wanted ? ++next_attempt_ : 0;
            if (attempts[job] == 0) continue;
        } else {
            if (room_in_limit(*job, standing) < 1) continue;
            attempts[job] = ++next_attempt_;
        }
        bind(*job, job->next_idle(), *machines[decision.machine], attempts[job],
             pipelines[decision.pipeline].rank, decision.makespan, decision.rpm, now);
        standing.team_use[job->spec.team] += job->spec.need;
    }

    std::vector<Job*> waiting;
    for (const auto p : result.order)
        if (of[p]->idle_count() > 0) waiting.push_back(of[p]);
    preempt(waiting, standing, now);
}

void Controller::preempt(const std::vector<Job*>& waiting, Standing& standing, TimePoint now) {
    struct Victim {
        Job* job;
        std::uint32_t index;
        double cost;
    };
    struct Plan {
        Machine* machine = nullptr;
        std::vector<Victim> victims;
        double cost = std::numeric_limits<double>::max();
    };
    // What might be stopped, told apart as `may_stop` does. On most cycles nobody waiting may
    // stop any of it, and no machine needs to be looked at.
    struct Stoppable {
        Priority priority;
        bool guaranteed;
        std::string team;
        auto operator<=>(const Stoppable&) const = default;
    };
    std::set<Stoppable> stoppable;
    std::vector<Machine*> candidates;
    for (auto& [name, machine] : machines_) {
        if (!usable(machine, now) || machine.closing) continue;
        candidates.push_back(&machine);
        for (const auto& [key, task] : machine.held) {
            if (task.placement->stage == Placement::Stage::bound || task.placement->stopping)
                continue;
            stoppable.insert({task.job->spec.priority,
                              standing.guaranteed.contains(key.first), task.job->spec.team});
        }
    }
    for (auto* job : waiting) {
        const bool guaranteed = standing.guaranteed.contains(job->serial);
        if (job->spec.priority == Priority::low && !guaranteed) continue;
        const bool gang = job->spec.kind == Kind::gang;
        if (gang && job->spec.tasks > 1 && job->spec.spread) continue;
        const auto may_stop = [&](Priority priority, bool other_guaranteed,
                                  const std::string& team) {
            // Guard against two jobs that stop each other in turn: what a guarantee has taken
            // back is not taken again by a borrower's priority.
            if (other_guaranteed && !guaranteed) return false;
            if (priority < job->spec.priority) return true;
            return guaranteed && !other_guaranteed && team != job->spec.team;
        };
        if (std::none_of(stoppable.begin(), stoppable.end(), [&](const Stoppable& other) {
                return may_stop(other.priority, other.guaranteed, other.team);
            }))
            continue;
        std::uint32_t want = std::min(job->idle_count(), room_in_limit(*job, standing));
        if (gang && want < job->spec.tasks) continue;
        if (!gang) want = std::min(want, array_preempts_a_cycle);

        std::set<std::pair<std::uint64_t, std::uint32_t>> spoken_for;
        std::map<const Machine*, Resources> planned;
        const auto plan_on = [&](Machine& machine) -> std::optional<Plan> {
            Plan plan{&machine, {}, 0};
            Resources free = types_[machine.type].size - used(machine);
            if (const auto it = planned.find(&machine); it != planned.end()) free -= it->second;
            std::vector<Victim> victims;
            for (const auto& [key, task] : machine.held) {
                auto& other = *task.job;
                const auto& placement = *task.placement;
                if (placement.stage == Placement::Stage::bound || placement.stopping) continue;
                if (spoken_for.contains(key)) continue;
                if (!may_stop(other.spec.priority, standing.guaranteed.contains(key.first),
                              other.spec.team))
                    continue;
                const auto ran = placement.state == TaskState::running
                                     ? between(placement.running_from, now)
                                     : Seconds{0};
                const bool saves = other.spec.checkpoint > Seconds{0};
                double cost = saves ? other.spec.save_time.count() : ran.count();
                cost += 10.0 * static_cast<int>(other.spec.priority);
                if (other.spec.kind == Kind::gang) cost *= other.spec.tasks;
                victims.push_back({&other, key.second, cost * (1 + other.spec.need.gpus)});
            }
            std::sort(victims.begin(), victims.end(),
                      [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
            for (const auto& victim : victims) {
                if (free.holds(job->spec.need)) break;
                free += victim.job->spec.need;
                plan.cost += victim.cost;
                plan.victims.push_back(victim);
            }
            // An array has had the room that is free already. A gang that lacks a machine or two
            // stops others only there and takes the rest as it is.
            if (!free.holds(job->spec.need) || (plan.victims.empty() && !gang))
                return std::nullopt;
            const bool cached =
                std::any_of(machine.images.begin(), machine.images.end(),
                            [&](const CachedImage& entry) { return entry.id == job->image; });
            const auto rate = std::max(types_[machine.type].fetch_gb_per_s, 1e-3);
            if (!cached) plan.cost += job->spec.image_gb / rate * job->spec.need.gpus;
            return plan;
        };
        // The cheapest plan first; only the plan of the machine just taken changes by that.
        const auto dearer = [](const Plan& a, const Plan& b) { return a.cost > b.cost; };
        const auto plans_in = [&](const std::optional<std::string>& zone) {
            spoken_for.clear();
            planned.clear();
            std::vector<Plan> heap;
            for (auto* machine : candidates) {
                if (!allowed(job->spec, *machine) || (zone && machine->zone != *zone)) continue;
                if (auto plan = plan_on(*machine)) heap.push_back(std::move(*plan));
            }
            std::make_heap(heap.begin(), heap.end(), dearer);
            std::vector<Plan> out;
            while (out.size() < want && !heap.empty()) {
                std::pop_heap(heap.begin(), heap.end(), dearer);
                auto best = std::move(heap.back());
                heap.pop_back();
                auto& machine = *best.machine;
                for (const auto& victim : best.victims) {
                    spoken_for.insert({victim.job->serial, victim.index});
                    planned[&machine] -= victim.job->spec.need;
                }
                planned[&machine] += job->spec.need;
                out.push_back(std::move(best));
                if (auto again = plan_on(machine)) {
                    heap.push_back(std::move(*again));
                    std::push_heap(heap.begin(), heap.end(), dearer);
                }
            }
            return out;
        };
        std::vector<Plan> plans;
        if (!job->spec.one_zone) {
            plans = plans_in(std::nullopt);
        } else if (!job->placed.empty()) {
            plans = plans_in(machines_.at(job->placed.begin()->second.machine).zone);
        } else {
            // The zone where most of it finds room, at the least cost.
            double least = std::numeric_limits<double>::max();
            for (const auto& zone : config_.zones) {
                auto here = plans_in(zone);
                double cost = 0;
                for (const auto& plan : here) cost += plan.cost;
                if (here.size() < plans.size() || (here.size() == plans.size() && cost >= least))
                    continue;
                plans = std::move(here);
                least = cost;
            }
        }
        // Without anybody to stop, the room there is has been refused by DSMF for its own reasons.
        if (std::all_of(plans.begin(), plans.end(),
                        [](const Plan& plan) { return plan.victims.empty(); }))
            continue;
        if (plans.empty() || (gang && plans.size() < want)) continue;

        auto attempt = ++next_attempt_;
        for (auto& plan : plans) {
            Seconds longest{0};
            for (const auto& victim : plan.victims) {
                auto& other = *victim.job;
                const bool saves = other.spec.checkpoint > Seconds{0};
                const auto grace = saves ? other.spec.save_time + Seconds{1} : Seconds{0};
                longest = std::max(longest, grace);
                ++counts_.preempted;
                // A gang is stopped as a whole, in one go, so that its progress is saved.
                for (auto& [index, placement] : other.placed)
                    if ((other.spec.kind == Kind::gang || index == victim.index) &&
                        placement.stage != Placement::Stage::bound)
                        stop(other, placement, grace);
            }
            const auto index = job->next_idle();
            if (!gang) attempt = ++next_attempt_;
            bind(*job, index, *plan.machine, attempt, rank_of(*job, standing), expected_run(*job),
                 expected_run(*job), now);
            job->placed.at(index).held_until =
                later(now, longest + hold_beyond_save + config_.workers.report);
            standing.team_use[job->spec.team] += job->spec.need;
        }
    }
}

}  // namespace bendspindle::core
