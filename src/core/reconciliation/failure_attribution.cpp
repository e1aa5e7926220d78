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
    if (!job.failures.machines.empty()) clear_job(job);
    machine.failures.weight_by_job.clear();
    judge(machine);
}

// Failures of several jobs speak against the machine, failures everywhere against the job.
void FailureAttribution::task_failed(Machine& machine, Job& job, TimePoint commanded_at,
                                     TimePoint now) {
    const bool suspected = job.suspect();
    job.failures.machines.insert(machine.identity.name);
    if (job.suspect() && !suspected) weigh(job, of_a_suspect);
    machine.failures.weight_by_job[job.spec.id] = job.suspect() ? of_a_suspect : 1;
    judge(machine);
    // Tasks that were started together fail together, and count as one try.
    if (job.failures.tries_in_a_row > 0 && commanded_at < job.failures.last_at) return;
    ++job.failures.tries_in_a_row;
    job.failures.last_at = now;
    const double doublings = std::min(job.failures.tries_in_a_row, pauses_counted) - 1.0;
    job.failures.retry_not_before =
        later(now, std::min(longest_pause, first_pause * std::pow(2.0, doublings)));
}

// Guard against healthy machines released for a mistake in a job: its tasks fail wherever they are
// started, and two such jobs were enough to speak against each machine they came by.
void FailureAttribution::weigh(const Job& job, double weight) {
    for (const auto& name : job.failures.machines) {
        auto* other = inventory_.find(name);
        if (!other) continue;
        const auto entry = other->failures.weight_by_job.find(job.spec.id);
        if (entry == other->failures.weight_by_job.end()) continue;
        entry->second = weight;
        judge(*other);
    }
}

// It can be done, so where it failed the machine was at fault.
void FailureAttribution::clear_job(Job& job) {
    weigh(job, 1);
    job.failures.machines.clear();
    job.failures.tries_in_a_row = 0;
}

void FailureAttribution::judge(Machine& machine) {
    double against = 0;
    for (const auto& [id, weight] : machine.failures.weight_by_job) against += weight;
    machine.failures.at_fault = against >= against_a_machine;
}

}  // namespace bendspindle::core
