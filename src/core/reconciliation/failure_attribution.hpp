/// Attributes task failures to machines or jobs: failures of several jobs to the machine, failures
/// on several machines to the job. Owns `Machine::failures` and `Job::failures`; called by
/// `Reconciliation` when tasks exit.
#pragma once

#include "core/cluster/job.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// Maintains the failure state of jobs and machines. The inventory must outlive the object.
class FailureAttribution {
  public:
    explicit FailureAttribution(MachineInventory& inventory) : inventory_(inventory) {}

    /// Records that a task of the job completed on the machine, which clears the failures of both.
    void record_completion(Machine& machine, Job& job);
    /// Records that a task whose start was commanded at `commanded_at` exited with an error.
    void record_failure(Machine& machine, Job& job, TimePoint commanded_at, TimePoint now);

  private:
    void update_job_weight(const Job& job, double weight);
    void clear_job_failures(Job& job);
    static void update_at_fault(Machine& machine);

    MachineInventory& inventory_;
};

}  // namespace bendspindle::core
