#include "core/reconciliation/failure_attribution.hpp"

#include <algorithm>
#include <cmath>

namespace bendspindle::core {

namespace {

// The delay before a failed job is retried doubles with each consecutive failure, up to a maximum
// number of failures and a maximum delay.
constexpr Seconds initial_backoff{0.5};
constexpr Seconds max_backoff{30};
constexpr std::uint32_t max_backoff_failures = 6;
// A machine is at fault if this many jobs have failed on it. Suspect jobs, which have failed on
// other machines too and completed nowhere, count less: either the jobs are wrong or several
// machines are faulty.
constexpr double at_fault_weight = 2;
constexpr double suspect_job_weight = 0.5;

}  // namespace

void FailureAttribution::record_completion(Machine& machine, Job& job) {
    if (!job.failures.machines.empty()) clear_job_failures(job);
    machine.failures.weight_by_job.clear();
    update_at_fault(machine);
}

// Failures of several jobs are attributed to the machine, failures on several machines to the job.
void FailureAttribution::record_failure(Machine& machine, Job& job, TimePoint commanded_at,
                                        TimePoint now) {
    const bool was_suspect = job.is_suspect();
    job.failures.machines.insert(machine.identity.name);
    if (job.is_suspect() && !was_suspect) update_job_weight(job, suspect_job_weight);
    machine.failures.weight_by_job[job.spec.id] = job.is_suspect() ? suspect_job_weight : 1;
    update_at_fault(machine);
    // Tasks that were started together fail together and count as one attempt.
    if (job.failures.consecutive_failures > 0 && commanded_at < job.failures.last_at) return;
    ++job.failures.consecutive_failures;
    job.failures.last_at = now;
    const double doublings =
        std::min(job.failures.consecutive_failures, max_backoff_failures) - 1.0;
    job.failures.retry_not_before =
        later(now, std::min(max_backoff, initial_backoff * std::pow(2.0, doublings)));
}

// Guard against releasing healthy machines for an error in a job: its tasks fail wherever they are
// started, and two such jobs were enough to put every machine that ran them at fault.
void FailureAttribution::update_job_weight(const Job& job, double weight) {
    for (const auto& name : job.failures.machines) {
        auto* other = inventory_.find(name);
        if (!other) continue;
        const auto entry = other->failures.weight_by_job.find(job.spec.id);
        if (entry == other->failures.weight_by_job.end()) continue;
        entry->second = weight;
        update_at_fault(*other);
    }
}

// A task of the job has completed, so earlier failures of the job count fully against the machines
// on which it failed.
void FailureAttribution::clear_job_failures(Job& job) {
    update_job_weight(job, 1);
    job.failures.machines.clear();
    job.failures.consecutive_failures = 0;
}

void FailureAttribution::update_at_fault(Machine& machine) {
    double total_weight = 0;
    for (const auto& [id, weight] : machine.failures.weight_by_job) total_weight += weight;
    machine.failures.at_fault = total_weight >= at_fault_weight;
}

}  // namespace bendspindle::core
