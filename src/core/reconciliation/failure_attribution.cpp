#include "core/reconciliation/failure_attribution.hpp"

#include <algorithm>
#include <cmath>

namespace bendspindle::core {

namespace {

// A job that fails waits ever longer before the next try, up to the last of these.
constexpr Seconds first_pause{0.5};
constexpr Seconds longest_pause{30};
constexpr std::uint32_t pauses_counted = 6;
// Failures of this many jobs speak against the machine, or of more that have failed on others as
// well and on none been done: either they are mistaken or several machines are faulty.
constexpr double against_a_machine = 2;
constexpr double of_a_suspect = 0.5;

}  // namespace

void FailureAttribution::task_done(Machine& machine, Job& job) {
    if (!job.failed_on.empty()) clear_job(job);
    machine.failed_jobs.clear();
    judge(machine);
}

// Failures of several jobs speak against the machine, failures everywhere against the job.
void FailureAttribution::task_failed(Machine& machine, Job& job, TimePoint ordered_at,
                                     TimePoint now) {
    const bool suspected = job.suspect();
    job.failed_on.insert(machine.name);
    if (job.suspect() && !suspected) weigh(job, of_a_suspect);
    machine.failed_jobs[job.spec.id] = job.suspect() ? of_a_suspect : 1;
    judge(machine);
    // Tasks that were started together fail together, and count as one try.
    if (job.errors > 0 && ordered_at < job.failed_at) return;
    ++job.errors;
    job.failed_at = now;
    const double doublings = std::min(job.errors, pauses_counted) - 1.0;
    job.not_before = later(now, std::min(longest_pause, first_pause * std::pow(2.0, doublings)));
}

// Guard against healthy machines returned for a mistake in a job: its tasks fail wherever they are
// started, and two such jobs were enough to speak against each machine they came by.
void FailureAttribution::weigh(const Job& job, double weight) {
    for (const auto& name : job.failed_on) {
        auto* other = inventory_.find(name);
        if (!other) continue;
        const auto entry = other->failed_jobs.find(job.spec.id);
        if (entry == other->failed_jobs.end()) continue;
        entry->second = weight;
        judge(*other);
    }
}

// It can be done, so where it failed the machine was at fault.
void FailureAttribution::clear_job(Job& job) {
    weigh(job, 1);
    job.failed_on.clear();
    job.errors = 0;
}

void FailureAttribution::judge(Machine& machine) {
    double against = 0;
    for (const auto& [id, weight] : machine.failed_jobs) against += weight;
    machine.failing = against >= against_a_machine;
}

}  // namespace bendspindle::core
