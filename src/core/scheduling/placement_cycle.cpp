#include "core/scheduling/placement_cycle.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "fair_share/makespan_stretch.hpp"

namespace bendspindle::core {

namespace {

// A job within its team's guarantee that has waited this long takes precedence over jobs of higher
// priority that run beyond the guarantees of their teams.
constexpr Seconds starvation_threshold{300};
// How long a job avoids machines on which it has failed. The machine may have been repaired since,
// or be the only one that the job may use.
constexpr Seconds failed_machine_exclusion_time{60};

}  // namespace

void PlacementCycle::withdraw_uncommanded_binds(TimePoint now) {
    for (auto& [serial, job] : job_table_.all()) {
        const bool gang = job->spec.kind == Kind::gang;
        // A gang of which a start was commanded keeps its binds, because its tasks share one
        // attempt.
        if (gang &&
            std::any_of(job->assignments.begin(), job->assignments.end(), [](const auto& entry) {
                return entry.second.stage != Assignment::Stage::bound;
            }))
            continue;
        std::vector<std::uint32_t> withdrawn;
        for (const auto& [index, assignment] : job->assignments) {
            if (assignment.stage != Assignment::Stage::bound) continue;
            const auto* machine = inventory_.find(assignment.machine);
            const bool is_reserved =
                assignment.reserved_until > now && machine && inventory_.usable(*machine, now);
            if (!is_reserved) withdrawn.push_back(index);
        }
        if (gang && !withdrawn.empty()) {
            withdrawn.clear();
            for (const auto& [index, assignment] : job->assignments) withdrawn.push_back(index);
        }
        for (const auto index : withdrawn) job_table_.unassign(*job, index);
    }
}

// Restarts gangs that a failover left partially started. When a controller ended between the starts
// of a gang's tasks, the tasks already started kept their machines and waited for the others, which
// no controller would start, until they timed out. Once no unfenced machine may still run the
// missing tasks, the whole gang is restarted.
void PlacementCycle::break_partial_gangs() {
    for (const auto& [serial, job] : job_table_.all()) {
        if (job->spec.kind != Kind::gang || job->is_terminal() || job->accepted_this_term) continue;
        if (job->assignments.empty() || job->assignments.size() == job->spec.tasks) continue;
        if (inventory_.may_have_unfenced_tasks(*job)) continue;
        std::set<std::uint64_t> attempts;
        for (const auto& [index, assignment] : job->assignments)
            attempts.insert(assignment.attempt);
        for (const auto attempt : attempts) job_table_.abort_gang_attempt(*job, attempt);
    }
}

dsmf::Machine PlacementCycle::view_of(const Machine& machine, TimePoint now) const {
    const auto& type = catalog_[machine.identity.type];
    dsmf::Machine view;
    view.free = type.size - machine.used();
    view.fetch_gb_per_s = std::max(type.fetch_gb_per_s, 1e-3);
    view.cost = machine.identity.spot ? type.spot_price : type.price;
    view.zone = config_.zone_index(machine.identity.zone);
    view.group = (machine.identity.type * config_.zones.size() + view.zone) * 2 +
                 (machine.identity.spot ? 1 : 0);
    view.images.reserve(machine.cached_images.size() + 2);
    for (const auto& entry : machine.cached_images) view.images.push_back({entry.id, Seconds{0}});
    for (const auto& [key, task] : machine.assigned_tasks) {
        const auto& job = *task.job;
        const auto& assignment = *task.assignment;
        if (assignment.stage == Assignment::Stage::bound) continue;
        const auto left =
            assignment.stopping ? job.spec.save_time : estimates_.remaining(job, assignment, now);
        view.releases.push_back({left, job.spec.need});
        if (assignment.state == TaskState::fetching && job.image != 0 && !view.image(job.image)) {
            const Seconds whole{job.spec.image_gb / view.fetch_gb_per_s};
            view.fetch_queue +=
                std::max(whole - between(assignment.stage_entered_at, now), Seconds{0.5});
            view.images.push_back({job.image, view.fetch_queue});
        }
    }
    std::sort(view.releases.begin(), view.releases.end(),
              [](const auto& a, const auto& b) { return a.in < b.in; });
    return view;
}

void PlacementCycle::snapshot_machines(Snapshot& snapshot, TimePoint now) {
    for (auto& [name, machine] : inventory_.all()) {
        if (!inventory_.usable(machine, now) || machine.lifecycle.draining_for_scale_in) continue;
        auto view = view_of(machine, now);
        if (view.zone >= config_.zones.size()) continue;
        snapshot.machines.push_back(&machine);
        snapshot.views.push_back(std::move(view));
    }
}

// Limits jobs under a fair-share minimum to machines that suit them, which are the machines on
// which the minimum protects them. Without this limit, such jobs without GPU need were bound to GPU
// machines before urgent GPU jobs, which preempted them again.
dsmf::EligibleJob PlacementCycle::make_eligible_job(const Job& job, std::uint32_t tasks,
                                                    bool under_minimum_share,
                                                    const Snapshot& snapshot, TimePoint now) const {
    dsmf::EligibleJob out;
    out.job = snapshot.jobs.size();
    out.tasks = tasks;
    out.gang = job.spec.kind == Kind::gang;
    out.zones = ZoneConstraint::of(job.spec, config_.zones.size());
    for (const auto& [index, assignment] : job.assignments) {
        const auto zone = config_.zone_index(inventory_.at(assignment.machine).identity.zone);
        if (zone < config_.zones.size()) out.zones.add_task(zone);
    }
    out.need = job.spec.need;
    out.image = job.image;
    out.image_gb = job.spec.image_gb;
    out.run = estimates_.expected_run(job);
    for (const auto& type : catalog_.types())
        for (const auto& zone : config_.zones)
            for (const bool spot : {false, true})
                out.groups.push_back(allowed(job.spec, type.name, zone, spot) &&
                                     (!under_minimum_share || catalog_.suits(job.spec, type)));
    if (job.failures.consecutive_failures > 0 &&
        between(job.failures.last_at, now) < failed_machine_exclusion_time)
        out.excluded_machines = find_excluded_machines(job, snapshot);
    return out;
}

// The next attempt is made on other machines. No machine is excluded if that would exclude more
// than half of the allowed ones: otherwise a gang that had failed on many machines had too few left
// for another attempt, and since there were enough machines, none was scaled out for it.
std::vector<std::size_t> PlacementCycle::find_excluded_machines(const Job& job,
                                                                const Snapshot& snapshot) const {
    std::vector<std::size_t> out;
    std::size_t allowed_machines = 0;
    for (std::size_t m = 0; m < snapshot.machines.size(); ++m) {
        if (!inventory_.allows(job.spec, *snapshot.machines[m])) continue;
        ++allowed_machines;
        if (snapshot.machines[m]->failures.weight_by_job.contains(job.spec.id)) out.push_back(m);
    }
    if (out.size() * 2 > allowed_machines) out.clear();
    return out;
}

void PlacementCycle::stretch_makespans(Snapshot& snapshot, const QuotaSnapshot& quota) const {
    std::map<int, double> used;
    for (const auto& [serial, job] : job_table_.all())
        if (!job->is_terminal() && !job->assignments.empty())
            used[quota.rank(*job)] += quota.share(*job, job->assignments.size());
    std::vector<fair_share::PipelineDemand> demands;
    for (std::size_t p = 0; p < snapshot.pipelines.size(); ++p) {
        const auto& pipeline = snapshot.pipelines[p];
        const auto tasks = pipeline.eligible.front().tasks;
        demands.push_back({pipeline.rank, quota.share(*snapshot.jobs[p], tasks)});
    }
    const auto factors = fair_share::compute_stretch_factors(demands, used);
    for (std::size_t p = 0; p < factors.size(); ++p) snapshot.pipelines[p].stretch = factors[p];
}

void PlacementCycle::snapshot_jobs(Snapshot& snapshot, const QuotaSnapshot& quota,
                                   TimePoint now) const {
    for (const auto& [serial, job] : job_table_.all()) {
        if (job->is_terminal() || !job->record.durable || job->failures.retry_not_before > now)
            continue;
        const bool gang = job->spec.kind == Kind::gang;
        if (gang && !job->assignments.empty()) continue;
        const auto idle = job->idle_count();
        if (idle == 0 || inventory_.may_have_unfenced_tasks(*job)) continue;
        if (!job->starvation.waiting_since) job->starvation.waiting_since = now;
        if (between(*job->starvation.waiting_since, now) > starvation_threshold)
            job->starvation.starved = true;
        const auto max_concurrent = job->max_concurrent_tasks();
        if (!gang && job->progress.placed >= max_concurrent) continue;
        const auto tasks = std::min(quota.remaining_tasks(*job),
                                    gang ? idle : max_concurrent - job->progress.placed);
        if (tasks == 0 || (gang && tasks < idle)) continue;
        dsmf::Pipeline pipeline;
        pipeline.rank = quota.rank(*job);
        const bool under_minimum_share = quota.under_minimum_share(*job);
        pipeline.reserves_machines = under_minimum_share;
        pipeline.eligible.push_back(
            make_eligible_job(*job, std::min(idle, tasks), under_minimum_share, snapshot, now));
        snapshot.pipelines.push_back(std::move(pipeline));
        snapshot.jobs.push_back(job.get());
    }
}

void PlacementCycle::apply_binds(const dsmf::Result& result, const Snapshot& snapshot,
                                 QuotaSnapshot& quota, TimePoint now) {
    std::map<const Job*, std::uint64_t> gang_attempts;
    for (const auto& decision : result.binds) {
        auto& job = *snapshot.jobs[decision.job];
        Assignment assignment;
        // The quota is checked for each bind because all pipelines of a team share its limit.
        if (job.spec.kind == Kind::gang) {
            const auto [it, first] = gang_attempts.try_emplace(&job, 0);
            if (first && quota.remaining_tasks(job) >= job.spec.tasks)
                it->second = job_table_.next_attempt();
            if (it->second == 0) continue;
            assignment.attempt = it->second;
        } else {
            if (quota.remaining_tasks(job) < 1) continue;
            assignment.attempt = job_table_.next_attempt();
        }
        assignment.rank = snapshot.pipelines[decision.pipeline].rank;
        assignment.makespan = decision.makespan;
        assignment.rpm = decision.rpm;
        job.starvation.started_under_minimum_share |= quota.under_minimum_share(job);
        job_table_.bind(job, *snapshot.machines[decision.machine], assignment, now);
        quota.add_bound_task(job);
    }
}

void PlacementCycle::run(TimePoint now) {
    withdraw_uncommanded_binds(now);
    break_partial_gangs();
    auto quota = quota_accounting_.snapshot(now);
    Snapshot snapshot;
    snapshot_machines(snapshot, now);
    snapshot_jobs(snapshot, quota, now);
    if (snapshot.pipelines.empty()) return;
    stretch_makespans(snapshot, quota);
    const auto result = dsmf::place(snapshot.pipelines, snapshot.views, config_.cycle);
    apply_binds(result, snapshot, quota, now);
    std::vector<Job*> waiting;
    for (const auto p : result.order)
        if (snapshot.jobs[p]->idle_count() > 0) waiting.push_back(snapshot.jobs[p]);
    std::set<const Machine*> reserved;
    for (const auto m : result.reserved) reserved.insert(snapshot.machines[m]);
    preemption_.preempt_for(waiting, reserved, quota, now);
}

}  // namespace bendspindle::core
