#include "core/autoscaling/autoscaler.hpp"

#include <algorithm>
#include <cmath>

namespace bendspindle::core {

namespace {

constexpr std::size_t max_machines_per_release = 100;
constexpr Seconds refused_pool_backoff{15};
// A machine is scaled out for a job rather than letting it wait longer for a running task to end.
constexpr Seconds max_wait_for_running_task{120};
// Forecast demand ranks after all waiting jobs.
constexpr int forecast_rank = 1000;

}  // namespace

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

std::vector<TaskDemand> Autoscaler::collect_demands(TimePoint now) {
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

// Guards against left_waiting: tasks were packed as if they could be moved, so a machine counted as
// room for a job that no machine had room for. Tasks that end soon are still packed anew, because
// they make room without a new machine.
bool Autoscaler::stays_in_place(const AssignedTask& task, TimePoint now) const {
    const auto& assignment = *task.assignment;
    if (task.job->is_terminal() || assignment.stopping ||
        assignment.stage == Assignment::Stage::bound)
        return false;
    // The first task of an array with `one_zone` decides on the zone of all others.
    const auto& spec = task.job->spec;
    const bool decides_zone = spec.one_zone && spec.kind != Kind::gang;
    return spec.kind == Kind::service || decides_zone ||
           estimates_.remaining(*task.job, assignment, now) > max_wait_for_running_task;
}

BinPacking Autoscaler::pack_demands(const std::vector<TaskDemand>& demands, TimePoint now) const {
    BinPacking packing(config_, catalog_);
    for (std::size_t t = 0; t < catalog_.types().size(); ++t)
        for (const auto& zone : catalog_[t].zones)
            for (const bool spot : {true, false}) {
                const PoolKey key{catalog_[t].name, zone, spot};
                const auto until = refused_until_.find(key);
                packing.add_pool(key, t, until != refused_until_.end() && until->second > now);
            }
    for (const auto& [name, machine] : inventory_.all()) {
        if (!inventory_.is_capacity(machine, now)) continue;
        packing.add(machine);
        for (const auto& [key, task] : machine.assigned_tasks)
            if (stays_in_place(task, now)) packing.pin_task(task.job->spec);
    }
    for (const auto& demand : demands) packing.pack(demand);
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
        request.count = std::min(pool.to_scale_out, BinPacking::max_machines_per_request);
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
