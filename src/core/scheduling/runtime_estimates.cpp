#include "core/scheduling/runtime_estimates.hpp"

#include <algorithm>

namespace bendspindle::core {

namespace {

constexpr double min_ratio = 0.2;
constexpr double max_ratio = 5.0;
constexpr Seconds min_run{0.5};

}  // namespace

void RuntimeEstimates::record_run_time(Job& job, Seconds time) {
    ++job.run_times.count;
    job.run_times.mean += (time - job.run_times.mean) / std::min<double>(job.run_times.count, 20);
    if (job.spec.estimate.count() <= 0) return;
    auto& learned = classes_[job.spec.job_class];
    const double ratio = std::clamp(time.count() / job.spec.estimate.count(), min_ratio, max_ratio);
    ++learned.samples;
    learned.ratio += (ratio - learned.ratio) / std::min<double>(learned.samples + 3, 30);
}

double RuntimeEstimates::ratio(const std::string& job_class) const {
    const auto it = classes_.find(job_class);
    return it == classes_.end() ? 1 : it->second.ratio;
}

Seconds RuntimeEstimates::expected_run(const Job& job) const {
    if (job.run_times.count > 0) return std::max(job.run_times.mean, min_run);
    return std::max(job.spec.estimate * ratio(job.spec.job_class), min_run);
}

Seconds RuntimeEstimates::remaining(const Job& job, const Assignment& assignment,
                                    TimePoint now) const {
    const auto run = expected_run(job);
    if (assignment.stage != Assignment::Stage::reported ||
        assignment.state == TaskState::fetching || assignment.state == TaskState::waiting)
        return run;
    const auto ran = between(assignment.running_since, now);
    // A task that exceeds its estimate is expected to run for another quarter of its time so far.
    return std::max(run - ran, ran * 0.25);
}

}  // namespace bendspindle::core
