#include "core/cluster/job.hpp"

namespace bendspindle::core {

namespace {

bool is_finished(TaskPhase phase) {
    return phase == TaskPhase::done || phase == TaskPhase::durable;
}

}  // namespace

void Job::set_phase(std::uint32_t index, TaskPhase to) {
    auto& phase = progress.phase[index];
    if (is_finished(to) && !is_finished(phase)) ++progress.finished;
    if (phase == TaskPhase::placed && to != TaskPhase::placed) --progress.placed;
    if (phase != TaskPhase::placed && to == TaskPhase::placed) ++progress.placed;
    phase = to;
}

std::uint32_t Job::find_first_idle() {
    auto& first = progress.first_idle;
    while (first < progress.phase.size() && progress.phase[first] != TaskPhase::idle) ++first;
    return first;
}

std::vector<TaskRange> done_ranges(const Job& job) {
    std::vector<TaskRange> out;
    const auto& phase = job.progress.phase;
    for (std::uint32_t i = 0; i < phase.size(); ++i) {
        if (!is_finished(phase[i])) continue;
        if (!out.empty() && out.back().last + 1 == i)
            out.back().last = i;
        else
            out.push_back({i, i});
    }
    return out;
}

void mark_done(Job& job, const std::vector<TaskRange>& ranges, TaskPhase as) {
    const auto tasks = job.progress.phase.size();
    for (const auto& [first, last] : ranges)
        for (std::uint32_t i = first; i <= last && i < tasks; ++i) job.set_phase(i, as);
}

JobRecord to_record(const Job& job, const std::string& home) {
    return JobRecord{job.spec,          home, job.submitted, job.last_attempt, done_ranges(job),
                     job.terminal.state};
}

}  // namespace bendspindle::core
