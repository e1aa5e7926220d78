#include "core/reconciliation/start_latency.hpp"

#include <utility>

namespace bendspindle::core {

void StartLatencyTracker::record_if_started(Job& job, TimePoint now) {
    if (job.progress.started) return;
    const bool gang = job.spec.kind == Kind::gang;
    const Assignment* latest = nullptr;
    std::uint32_t running = 0;
    for (const auto& [index, assignment] : job.assignments) {
        if (assignment.stage != Assignment::Stage::reported ||
            assignment.state != TaskState::running)
            continue;
        ++running;
        if (!latest || assignment.commanded_at > latest->commanded_at) latest = &assignment;
    }
    if (!latest || (gang && running < job.spec.tasks)) return;
    job.progress.started = true;
    // Adopted from a former leader; the time of its start command is unknown.
    if (latest->commanded_at == TimePoint{}) return;
    StartLatencyBreakdown breakdown;
    breakdown.job = job.spec.id;
    breakdown.job_class = job.spec.job_class;
    breakdown.team = job.spec.team;
    breakdown.tasks = job.spec.tasks;
    breakdown.preempted_others = latest->reserved_until != TimePoint{};
    breakdown.record = between(job.accepted_at, job.record.durable_at);
    // A binding that waits for no preemption is renewed in each cycle, so that time counts as
    // waiting for capacity.
    const auto capacity_found_at =
        breakdown.preempted_others ? latest->bound_at : latest->commanded_at;
    breakdown.capacity = between(job.record.durable_at, capacity_found_at);
    breakdown.preemption = between(capacity_found_at, latest->commanded_at);
    breakdown.heartbeat = between(latest->commanded_at, latest->reported_at);
    breakdown.image = between(latest->reported_at, now);
    breakdowns_.push_back(std::move(breakdown));
}

}  // namespace bendspindle::core
