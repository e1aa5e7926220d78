#include "core/reconciliation/start_latency.hpp"

#include <utility>

namespace bendspindle::core {

void StartLatencyTracker::note(Job& job, TimePoint now) {
    if (job.started) return;
    const bool gang = job.spec.kind == Kind::gang;
    const Assignment* latest = nullptr;
    std::uint32_t running = 0;
    for (const auto& [index, assignment] : job.placed) {
        if (assignment.stage != Assignment::Stage::on || assignment.state != TaskState::running)
            continue;
        ++running;
        if (!latest || assignment.ordered_at > latest->ordered_at) latest = &assignment;
    }
    if (!latest || (gang && running < job.spec.tasks)) return;
    job.started = true;
    // Adopted from a former controller: its start was not seen.
    if (latest->ordered_at == TimePoint{}) return;
    StartLatencyBreakdown story;
    story.job = job.spec.id;
    story.job_class = job.spec.job_class;
    story.team = job.spec.team;
    story.tasks = job.spec.tasks;
    story.stopped_others = latest->held_until != TimePoint{};
    story.record = between(job.accepted_at, job.durable_at);
    // A bind that waits for nobody is made anew each cycle; it counts as waiting for room.
    const auto found = story.stopped_others ? latest->bound_at : latest->ordered_at;
    story.room = between(job.durable_at, found);
    story.saves = between(found, latest->ordered_at);
    story.heartbeat = between(latest->ordered_at, latest->on_at);
    story.image = between(latest->on_at, now);
    breakdowns_.push_back(std::move(story));
}

}  // namespace bendspindle::core
