/// Measures how long each job took from acceptance to start, broken down by phase. Owns the
/// breakdowns that have not been fetched yet; updated by `Reconciliation` when a task is first seen
/// running.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/cluster/job.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// Breakdown of the time from a job's acceptance by this controller to its start, for logs and
/// measurements. Describes the last task of a gang, or the first task of an array.
struct StartLatencyBreakdown {
    std::string job;
    std::string job_class;
    std::string team;
    std::uint32_t tasks = 0;
    bool preempted_others = false;
    Seconds record{0};      // until the job was durable
    Seconds capacity{0};    // until a machine was found or tasks were preempted
    Seconds preemption{0};  // until the preempted tasks had saved and exited
    Seconds heartbeat{0};   // until the machine reported the task
    Seconds image{0};       // until the task ran: its image was fetched, and its gang was complete
    Seconds total() const { return record + capacity + preemption + heartbeat + image; }
};

/// Records one breakdown for each job, when the job starts for the first time in this term.
class StartLatencyTracker {
  public:
    /// Called when a task of the job is first seen running. Records the breakdown once the job has
    /// started.
    void record_if_started(Job& job, TimePoint now);
    /// Returns the jobs that have started since the last call.
    [[nodiscard]] std::vector<StartLatencyBreakdown> take() {
        return std::exchange(breakdowns_, {});
    }

  private:
    std::vector<StartLatencyBreakdown> breakdowns_;
};

}  // namespace bendspindle::core
