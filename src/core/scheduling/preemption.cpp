#include "core/scheduling/preemption.hpp"

#include <algorithm>

namespace bendspindle::core {

namespace {

// An array may preempt for this many of its tasks in one cycle; the next cycle takes the effect
// into account.
constexpr std::uint32_t max_array_preemptions_per_cycle = 8;
// A reservation made by preemption lasts for the longest save time of its victims, one heartbeat
// interval and this margin.
constexpr Seconds reservation_margin{8};
// A job with this many consecutive failed attempts may use free resources but does not preempt.
constexpr std::uint32_t max_consecutive_failures = 2;
// Cost of stopping a task for each step of its priority, in seconds of lost work.
constexpr double priority_step_cost_s = 10;

bool is_stoppable(const Assignment& assignment) {
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

// Limits the protection by fair-share minimums to machines that suit the job. Without this limit,
// arrays without GPU need occupied GPU machines under their minimum, and urgent GPU jobs waited for
// minutes.
PreemptionEligibility eligibility_on(const MachineCatalog& catalog, const Machine& machine,
                                     const Job& job, const QuotaSnapshot& quota) {
    auto eligibility = eligibility_of(job, quota);
    if (!catalog.suits(job.spec, catalog[machine.identity.type]))
        eligibility.under_minimum_share = eligibility.class_protected = eligibility.team_protected =
            false;
    return eligibility;
}

}  // namespace

bool PreemptionEligibility::may_preempt(const PreemptionEligibility& other) const {
    // Prevents starvation by preemption: under a sustained load of higher priority, the few tasks
    // that a class could start were preempted before they completed.
    if (other.under_minimum_share) return false;
    if (other.class_protected && other.job_class != job_class) return false;
    if (other.team_protected && other.team != team) return false;
    // Prevents two jobs from preempting each other in turn: between a job within its team's
    // guarantee and a job of higher priority beyond the guarantee of its team, the latter may
    // preempt until the former has starved, and never after that. Without precedence for the
    // latter, urgent jobs beyond a guarantee waited for 30 seconds and longer while all machines
    // ran guaranteed jobs of lower priority.
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
    double cost = other.spec.saves_checkpoints() ? other.spec.save_time.count() : ran.count();
    cost += priority_step_cost_s * static_cast<int>(other.spec.priority);
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
        if (!is_stoppable(*task.assignment) || chosen_victims_.contains(key)) continue;
        if (!eligibility_.may_preempt(eligibility_on(catalog_, machine, *task.job, quota_)))
            continue;
        out.push_back({task.job, key.index, cost_of_stopping(*task.job, *task.assignment)});
    }
    std::sort(out.begin(), out.end(),
              [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
    return out;
}

std::optional<PreemptionPlan> VictimSearch::plan_on(Machine& machine) const {
    PreemptionPlan plan{&machine, {}, 0};
    Resources free = catalog_[machine.identity.type].size - machine.used();
    if (const auto it = planned_usage_.find(&machine); it != planned_usage_.end())
        free -= it->second;
    for (const auto& victim : victims_on(machine)) {
        if (free.holds(job_.spec.need)) break;
        free += victim.job->spec.need;
        plan.cost += victim.cost;
        plan.victims.push_back(victim);
    }
    // DSMF has already bound an array to free resources, so that a plan without victims is of no
    // use to it. A gang that lacks only a few machines preempts only there and uses free resources
    // on the others.
    const bool gang = job_.spec.kind == Kind::gang;
    if (!free.holds(job_.spec.need) || (plan.victims.empty() && !gang)) return std::nullopt;
    plan.cost += cost_of_fetching(machine);
    return plan;
}

void VictimSearch::assume_carried_out(const PreemptionPlan& plan) {
    auto& planned_usage = planned_usage_[plan.machine];
    for (const auto& victim : plan.victims) {
        chosen_victims_.insert({victim.job->serial, victim.index});
        planned_usage -= victim.job->spec.need;
    }
    planned_usage += job_.spec.need;
}

// Chooses the cheapest plan first. A chosen plan changes only the next plan of the same machine.
std::vector<PreemptionPlan> VictimSearch::plans(const std::optional<std::string>& zone,
                                                std::uint32_t tasks_to_place) {
    const auto costs_more = [](const PreemptionPlan& a, const PreemptionPlan& b) {
        return a.cost > b.cost;
    };
    chosen_victims_.clear();
    planned_usage_.clear();
    std::vector<PreemptionPlan> heap;
    for (auto* machine : candidates_) {
        if (!inventory_.allows(job_.spec, *machine) || (zone && machine->identity.zone != *zone))
            continue;
        if (auto plan = plan_on(*machine)) heap.push_back(std::move(*plan));
    }
    std::make_heap(heap.begin(), heap.end(), costs_more);
    std::vector<PreemptionPlan> out;
    while (out.size() < tasks_to_place && !heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), costs_more);
        auto best = std::move(heap.back());
        heap.pop_back();
        assume_carried_out(best);
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
                                                             std::uint32_t tasks_to_place) {
    std::vector<PreemptionPlan> best;
    double lowest_cost = std::numeric_limits<double>::max();
    for (const auto& zone : zones) {
        auto zone_plans = plans(zone, tasks_to_place);
        double cost = 0;
        for (const auto& plan : zone_plans) cost += plan.cost;
        if (zone_plans.size() < best.size() ||
            (zone_plans.size() == best.size() && cost >= lowest_cost))
            continue;
        best = std::move(zone_plans);
        lowest_cost = cost;
    }
    return best;
}

std::vector<PreemptionPlan> Preemption::plans_for(const Job& job, const QuotaSnapshot& quota,
                                                  const std::vector<Machine*>& candidates,
                                                  TimePoint now) const {
    const bool gang = job.spec.kind == Kind::gang;
    auto tasks_to_place = std::min(job.idle_count(), quota.remaining_tasks(job));
    if (gang && tasks_to_place < job.spec.tasks) return {};
    if (!gang) tasks_to_place = std::min(tasks_to_place, max_array_preemptions_per_cycle);
    VictimSearch search(job, quota, catalog_, inventory_, candidates, now);
    std::vector<PreemptionPlan> plans;
    if (!job.spec.one_zone)
        plans = search.plans(std::nullopt, tasks_to_place);
    else if (!job.assignments.empty())
        plans = search.plans(inventory_.at(job.assignments.begin()->second.machine).identity.zone,
                             tasks_to_place);
    else
        plans = search.plans_in_best_zone(config_.zones, tasks_to_place);
    // If no plan has victims, the resources are free and DSMF has rejected them for its own
    // reasons.
    const bool has_no_victims =
        std::all_of(plans.begin(), plans.end(),
                    [](const PreemptionPlan& plan) { return plan.victims.empty(); });
    if (has_no_victims || (gang && plans.size() < tasks_to_place)) return {};
    return plans;
}

void Preemption::carry_out(Job& job, const std::vector<PreemptionPlan>& plans, QuotaSnapshot& quota,
                           TimePoint now) {
    const bool gang = job.spec.kind == Kind::gang;
    auto attempt = job_table_.next_attempt();
    for (const auto& plan : plans) {
        Seconds longest_save{0};
        for (const auto& victim : plan.victims)
            longest_save = std::max(
                longest_save,
                JobTable::stop_gracefully(*victim.job, victim.job->assignments.at(victim.index)));
        if (!gang) attempt = job_table_.next_attempt();
        const auto run = estimates_.expected_run(job);
        Assignment assignment;
        assignment.attempt = attempt;
        assignment.rank = quota.rank(job);
        assignment.makespan = assignment.rpm = run;
        assignment.reserved_until =
            later(now, longest_save + reservation_margin + config_.workers.heartbeat);
        job.starvation.started_under_minimum_share |= quota.under_minimum_share(job);
        job_table_.bind(job, *plan.machine, assignment, now);
        quota.add_bound_task(job);
    }
}

void Preemption::preempt_for(const std::vector<Job*>& waiting,
                             const std::set<const Machine*>& reserved, QuotaSnapshot& quota,
                             TimePoint now) {
    // In most cycles, no waiting job may preempt any task. Comparing the distinct eligibilities
    // first avoids the search of all machines.
    std::set<PreemptionEligibility> stoppable;
    std::vector<Machine*> all;
    std::vector<Machine*> unreserved;
    for (auto& [name, machine] : inventory_.all()) {
        if (!inventory_.usable(machine, now) || machine.lifecycle.draining_for_scale_in) continue;
        all.push_back(&machine);
        if (!reserved.contains(&machine)) unreserved.push_back(&machine);
        for (const auto& [key, task] : machine.assigned_tasks)
            if (is_stoppable(*task.assignment))
                stoppable.insert(eligibility_on(catalog_, machine, *task.job, quota));
    }
    for (auto* job : waiting) {
        const auto eligibility = eligibility_of(*job, quota);
        if (eligibility.priority == Priority::low && !eligibility.guaranteed) continue;
        // Prevents repeated preemption by a job that cannot succeed: a faulty job preempted others
        // at each of its attempts, every 30 seconds until it ended.
        if (job->is_suspect() || job->failures.consecutive_failures >= max_consecutive_failures)
            continue;
        // Prevents wrong_place: plans do not consider how many of the job's tasks a zone already
        // has. When only gangs were skipped here, more than half of an array's tasks were placed in
        // one zone.
        if (job->spec.spread && job->spec.tasks > 1) continue;
        if (std::none_of(
                stoppable.begin(), stoppable.end(),
                [&](const PreemptionEligibility& other) { return eligibility.may_preempt(other); }))
            continue;
        const auto& candidates = quota.under_minimum_share(*job) ? all : unreserved;
        const auto plans = plans_for(*job, quota, candidates, now);
        if (!plans.empty()) carry_out(*job, plans, quota, now);
    }
}

}  // namespace bendspindle::core
