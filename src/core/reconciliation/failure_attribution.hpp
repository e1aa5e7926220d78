/// Judges machines and jobs by tasks that fail: failures of several jobs speak against the machine,
/// failures on several machines against the job. Owns `Machine::failures` and `Job::failures`;
/// called by `Reconciliation` as tasks exit.
#pragma once

#include "core/cluster/job.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// What it was given must outlive it.
class FailureAttribution {
  public:
    explicit FailureAttribution(MachineInventory& inventory) : inventory_(inventory) {}

    /// A task of the job completed on the machine: nothing speaks against either any more.
    void task_done(Machine& machine, Job& job);
    /// A task whose start was commanded at `commanded_at` ended with an error.
    void task_failed(Machine& machine, Job& job, TimePoint commanded_at, TimePoint now);

  private:
    void weigh(const Job& job, double weight);
    void clear_job(Job& job);
    static void judge(Machine& machine);

    MachineInventory& inventory_;
};

}  // namespace bendspindle::core
