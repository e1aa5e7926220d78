#include "core/cluster/job.hpp"

#include <algorithm>

namespace bendspindle::core {

void Job::set_phase(std::uint32_t index, TaskPhase to) {
    const auto finished_phase = [](TaskPhase p) {
        return p == TaskPhase::done || p == TaskPhase::durable;
    };
    const auto from = phase[index];
    if (finished_phase(to) && !finished_phase(from)) ++finished;
    if (from == TaskPhase::placed && to != TaskPhase::placed) --placed_open;
    if (from != TaskPhase::placed && to == TaskPhase::placed) ++placed_open;
    phase[index] = to;
}

std::uint32_t Job::next_idle() {
    while (first_idle < phase.size() && phase[first_idle] != TaskPhase::idle) ++first_idle;
    return first_idle;
}

std::vector<Range> done_ranges(const Job& job) {
    std::vector<Range> out;
    for (std::uint32_t i = 0; i < job.phase.size(); ++i) {
        if (job.phase[i] != TaskPhase::done && job.phase[i] != TaskPhase::durable) continue;
        if (!out.empty() && out.back().second + 1 == i)
            out.back().second = i;
        else
            out.push_back({i, i});
    }
    return out;
}

void mark_done(Job& job, const std::vector<Range>& ranges, TaskPhase as) {
    for (const auto& [first, last] : ranges)
        for (std::uint32_t i = first; i <= last && i < job.phase.size(); ++i) job.set_phase(i, as);
}

JobRecord to_record(const Job& job, const std::string& home) {
    return JobRecord{job.spec,          home, job.submitted, job.last_attempt, done_ranges(job),
                     job.terminal_state};
}

}  // namespace bendspindle::core
