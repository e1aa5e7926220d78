#include "core/scheduling/preemption.hpp"

#include <algorithm>

namespace bendspindle::core {

namespace {

// An array may preempt for this many of its tasks in one cycle; the next cycle sees the effect.
constexpr std::uint32_t array_preempts_a_cycle = 8;
// A reservation made by preemption outlives the save time of its victims by this.
constexpr Seconds hold_beyond_save{8};
// A job whose tries have failed so often in a row takes what is free.
constexpr std::uint32_t most_failed_tries = 2;
// What a step of priority weighs, in seconds of lost work.
constexpr double priority_step_s = 10;

bool may_be_stopped(const Assignment& assignment) {
    return assignment.stage != Assignment::Stage::bound && !assignment.stopping;
}

PreemptionEligibility eligibility_of(const Job& job, const QuotaSnapshot& quota) {
    const bool guaranteed = quota.guaranteed(job);
    return {job.spec.priority,
            guaranteed,
            guaranteed && job.starvation.starved,
            quota.under_minimum_share(job),
            quota.class_protected(job),
            quota.team_protected(job),
            job.spec.team,
            job.spec.job_class};
}

// Guard against urgent work kept out: a fair-share minimum protects on machines that suit the work.
// Arrays without need of a GPU held GPU machines within their minimum, and urgent GPU work waited
// for minutes.
PreemptionEligibility eligibility_on(const MachineCatalog& catalog, const Machine& machine,
                                     const Job& job, const QuotaSnapshot& quota) {
    auto eligibility = eligibility_of(job, quota);
    if (!catalog.suits(job.spec, catalog[machine.identity.type]))
        eligibility.under_minimum_share = eligibility.class_protected = eligibility.team_protected =
            false;
    return eligibility;
}

}  // namespace

bool PreemptionEligibility::may_stop(const PreemptionEligibility& other) const {
    // Guard against starving by preemption: what little a class gets under a lasting flood of
    // higher priority was stopped again before it was done.
    if (other.under_minimum_share) return false;
    if (other.class_protected && other.job_class != job_class) return false;
    if (other.team_protected && other.team != team) return false;
    // Guard against two jobs that preempt each other in turn: between guaranteed work and a
    // borrower of higher priority, the borrower goes first until the guaranteed job has starved,
    // and never again after that. (Urgent work of a borrower waited half a minute and longer while
    // all machines ran guaranteed work of lower priority.)
    if (other.priority < priority) return guaranteed || !other.starved;
    if (!guaranteed || other.guaranteed || other.team == team) return false;
    return starved || other.priority <= priority;
}

VictimSearch::VictimSearch(const Job& job, const QuotaSnapshot& quota,
                           const MachineCatalog& catalog, const MachineInventory& inventory,
                           const std::vector<Machine*>& candidates, TimePoint now)
    : job_(job),
      quota_(quota),
      catalog_(catalog),
      inventory_(inventory),
      candidates_(candidates),
      now_(now),
      eligibility_(eligibility_of(job, quota)) {}

double VictimSearch::cost_of_stopping(const Job& other, const Assignment& assignment) const {
    const auto ran = assignment.state == TaskState::running
                         ? between(assignment.running_since, now_)
                         : Seconds{0};
    double cost = other.spec.saves() ? other.spec.save_time.count() : ran.count();
    cost += priority_step_s * static_cast<int>(other.spec.priority);
    if (other.spec.kind == Kind::gang) cost *= other.spec.tasks;
    return cost * (1 + other.spec.need.gpus);
}

double VictimSearch::cost_of_fetching(const Machine& machine) const {
    const bool cached = std::any_of(machine.cached_images.begin(), machine.cached_images.end(),
                                    [&](const CachedImage& e) { return e.id == job_.image; });
    if (cached) return 0;
    const auto rate = std::max(catalog_[machine.identity.type].fetch_gb_per_s, 1e-3);
    return job_.spec.image_gb / rate * job_.spec.need.gpus;
}

std::vector<Victim> VictimSearch::victims_on(const Machine& machine) const {
    std::vector<Victim> out;
    for (const auto& [key, task] : machine.assigned_tasks) {
        if (!may_be_stopped(*task.assignment) || chosen_.contains(key)) continue;
        if (!eligibility_.may_stop(eligibility_on(catalog_, machine, *task.job, quota_))) continue;
        out.push_back({task.job, key.index, cost_of_stopping(*task.job, *task.assignment)});
    }
    std::sort(out.begin(), out.end(),
              [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
    return out;
}

std::optional<PreemptionPlan> VictimSearch::plan_on(Machine& machine) const {
    PreemptionPlan plan{&machine, {}, 0};
    Resources free = catalog_[machine.identity.type].size - machine.used();
    if (const auto it = planned_.find(&machine); it != planned_.end()) free -= it->second;
    for (const auto& victim : victims_on(machine)) {
        if (free.holds(job_.spec.need)) break;
        free += victim.job->spec.need;
        plan.cost += victim.cost;
        plan.victims.push_back(victim);
    }
    // An array has had what is free already. A gang that lacks a machine or two stops others only
    // there and takes the rest as it is.
    const bool gang = job_.spec.kind == Kind::gang;
    if (!free.holds(job_.spec.need) || (plan.victims.empty() && !gang)) return std::nullopt;
    plan.cost += cost_of_fetching(machine);
    return plan;
}

void VictimSearch::take(const PreemptionPlan& plan) {
    auto& planned = planned_[plan.machine];
    for (const auto& victim : plan.victims) {
        chosen_.insert({victim.job->serial, victim.index});
        planned -= victim.job->spec.need;
    }
    planned += job_.spec.need;
}

// The cheapest plan first; only the plan of the machine just taken changes by that.
std::vector<PreemptionPlan> VictimSearch::plans(const std::optional<std::string>& zone,
                                                std::uint32_t want) {
    const auto costs_more = [](const PreemptionPlan& a, const PreemptionPlan& b) {
        return a.cost > b.cost;
    };
    chosen_.clear();
    planned_.clear();
    std::vector<PreemptionPlan> heap;
    for (auto* machine : candidates_) {
        if (!inventory_.allows(job_.spec, *machine) || (zone && machine->identity.zone != *zone))
            continue;
        if (auto plan = plan_on(*machine)) heap.push_back(std::move(*plan));
    }
    std::make_heap(heap.begin(), heap.end(), costs_more);
    std::vector<PreemptionPlan> out;
    while (out.size() < want && !heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), costs_more);
        auto best = std::move(heap.back());
        heap.pop_back();
        take(best);
        auto& machine = *best.machine;
        out.push_back(std::move(best));
        if (auto again = plan_on(machine)) {
            heap.push_back(std::move(*again));
            std::push_heap(heap.begin(), heap.end(), costs_more);
        }
    }
    return out;
}

std::vector<PreemptionPlan> VictimSearch::plans_in_best_zone(const std::vector<std::string>& zones,
                                                             std::uint32_t want) {
    std::vector<PreemptionPlan> best;
    double least = std::numeric_limits<double>::max();
    for (const auto& zone : zones) {
        auto here = plans(zone, want);
        double cost = 0;
        for (const auto& plan : here) cost += plan.cost;
        if (here.size() < best.size() || (here.size() == best.size() && cost >= least)) continue;
        best = std::move(here);
        least = cost;
    }
    return best;
}

std::vector<PreemptionPlan> Preemption::plans_for(const Job& job, const QuotaSnapshot& quota,
                                                  const std::vector<Machine*>& candidates,
                                                  TimePoint now) const {
    const bool gang = job.spec.kind == Kind::gang;
    auto want = std::min(job.idle_count(), quota.remaining_tasks(job));
    if (gang && want < job.spec.tasks) return {};
    if (!gang) want = std::min(want, array_preempts_a_cycle);
    VictimSearch search(job, quota, catalog_, inventory_, candidates, now);
    std::vector<PreemptionPlan> plans;
    if (!job.spec.one_zone)
        plans = search.plans(std::nullopt, want);
    else if (!job.assignments.empty())
        plans = search.plans(inventory_.at(job.assignments.begin()->second.machine).identity.zone,
                             want);
    else
        plans = search.plans_in_best_zone(config_.zones, want);
    // Without anybody to stop, DSMF has refused what is free for its own reasons.
    const bool stops_nobody =
        std::all_of(plans.begin(), plans.end(),
                    [](const PreemptionPlan& plan) { return plan.victims.empty(); });
    if (stops_nobody || (gang && plans.size() < want)) return {};
    return plans;
}

void Preemption::carry_out(Job& job, const std::vector<PreemptionPlan>& plans, QuotaSnapshot& quota,
                           TimePoint now) {
    const bool gang = job.spec.kind == Kind::gang;
    auto attempt = job_table_.next_attempt();
    for (const auto& plan : plans) {
        Seconds longest{0};
        for (const auto& victim : plan.victims)
            longest = std::max(longest, JobTable::stop_gracefully(
                                            *victim.job, victim.job->assignments.at(victim.index)));
        if (!gang) attempt = job_table_.next_attempt();
        const auto run = estimates_.expected_run(job);
        Assignment assignment;
        assignment.attempt = attempt;
        assignment.rank = quota.rank(job);
        assignment.makespan = assignment.rpm = run;
        assignment.reserved_until =
            later(now, longest + hold_beyond_save + config_.workers.heartbeat);
        job.starvation.started_under_minimum_share |= quota.under_minimum_share(job);
        job_table_.bind(job, *plan.machine, assignment, now);
        quota.take(job);
    }
}

void Preemption::preempt_for(const std::vector<Job*>& waiting,
                             const std::set<const Machine*>& reserved, QuotaSnapshot& quota,
                             TimePoint now) {
    // On most cycles nobody waiting may stop anything, and no machine needs to be looked at.
    std::set<PreemptionEligibility> stoppable;
    std::vector<Machine*> all;
    std::vector<Machine*> unreserved;
    for (auto& [name, machine] : inventory_.all()) {
        if (!inventory_.usable(machine, now) || machine.lifecycle.draining_for_scale_in) continue;
        all.push_back(&machine);
        if (!reserved.contains(&machine)) unreserved.push_back(&machine);
        for (const auto& [key, task] : machine.assigned_tasks)
            if (may_be_stopped(*task.assignment))
                stoppable.insert(eligibility_on(catalog_, machine, *task.job, quota));
    }
    for (auto* job : waiting) {
        const auto eligibility = eligibility_of(*job, quota);
        if (eligibility.priority == Priority::low && !eligibility.guaranteed) continue;
        // Guard against work that never ends: a mistaken job stopped others at each of its tries,
        // every half minute for as long as it was open.
        if (job->is_suspect() || job->failures.consecutive_failures >= most_failed_tries) continue;
        // Guard against wrong_place: plans do not look at how many of the job's tasks a zone has.
        // Only gangs were left out, and an array was put into one zone beyond half of its tasks.
        if (job->spec.spread && job->spec.tasks > 1) continue;
        if (std::none_of(
                stoppable.begin(), stoppable.end(),
                [&](const PreemptionEligibility& other) { return eligibility.may_stop(other); }))
            continue;
        const auto& candidates = quota.under_minimum_share(*job) ? all : unreserved;
        const auto plans = plans_for(*job, quota, candidates, now);
        if (!plans.empty()) carry_out(*job, plans, quota, now);
    }
}

}  // namespace bendspindle::core
