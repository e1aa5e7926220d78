#include "core/start_stories.hpp"

#include <utility>

namespace bendspindle::core {

void StartStories::note(Job& job, TimePoint now) {
    if (job.started) return;
    const bool gang = job.spec.kind == Kind::gang;
    const Placement* latest = nullptr;
    std::uint32_t running = 0;
    for (const auto& [index, placement] : job.placed) {
        if (placement.stage != Placement::Stage::on || placement.state != TaskState::running)
            continue;
        ++running;
        if (!latest || placement.ordered_at > latest->ordered_at) latest = &placement;
    }
    if (!latest || (gang && running < job.spec.tasks)) return;
    job.started = true;
    // Adopted from a former controller: its start was not seen.
    if (latest->ordered_at == TimePoint{}) return;
    StartStory story;
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
    story.report = between(latest->ordered_at, latest->on_at);
    story.image = between(latest->on_at, now);
    stories_.push_back(std::move(story));
}

}  // namespace bendspindle::core
