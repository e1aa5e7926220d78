#include "core/reconciliation/start_latency.hpp"

#include <utility>

namespace bendspindle::core {

void StartLatencyTracker::note(Job& job, TimePoint now) {
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
    // Adopted from a former leader: its start was not seen.
    if (latest->commanded_at == TimePoint{}) return;
    StartLatencyBreakdown breakdown;
    breakdown.job = job.spec.id;
    breakdown.job_class = job.spec.job_class;
    breakdown.team = job.spec.team;
    breakdown.tasks = job.spec.tasks;
    breakdown.stopped_others = latest->reserved_until != TimePoint{};
    breakdown.record = between(job.accepted_at, job.record.durable_at);
    // A bind that waits for nobody is made anew each cycle; it counts as waiting for a place.
    const auto found = breakdown.stopped_others ? latest->bound_at : latest->commanded_at;
    breakdown.room = between(job.record.durable_at, found);
    breakdown.saves = between(found, latest->commanded_at);
    breakdown.heartbeat = between(latest->commanded_at, latest->reported_at);
    breakdown.image = between(latest->reported_at, now);
    breakdowns_.push_back(std::move(breakdown));
}

}  // namespace bendspindle::core
