/// How long each job took from its acceptance to its start, and where that time went. Owner of the
/// breakdowns not fetched yet; updated by `Reconciliation` when a task is first seen running.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/cluster/job.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// What the time from a job's acceptance here to its start went into, for logs and measurements: of
/// a gang the latest of its tasks, of an array the first.
struct StartLatencyBreakdown {
    std::string job;
    std::string job_class;
    std::string team;
    std::uint32_t tasks = 0;
    bool stopped_others = false;
    Seconds record{0};     // until the job was durable
    Seconds room{0};       // until a place was found, or others were preempted for it
    Seconds saves{0};      // until those had saved and gone
    Seconds heartbeat{0};  // until the machine reported the task
    Seconds image{0};      // until it ran: its image, and the others of its gang
    Seconds total() const { return record + room + saves + heartbeat + image; }
};

/// Each job is broken down once, when it starts for the first time in this term.
class StartLatencyTracker {
  public:
    /// A task of the job was seen running for the first time.
    void note(Job& job, TimePoint now);
    /// Jobs that have started since the last call.
    [[nodiscard]] std::vector<StartLatencyBreakdown> take() {
        return std::exchange(breakdowns_, {});
    }

  private:
    std::vector<StartLatencyBreakdown> breakdowns_;
};

}  // namespace bendspindle::core
