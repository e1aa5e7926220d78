/// Logs the progress of a failover for operators and measurements: how long after the election the
/// records were loaded, half and all of the recorded machines were fenced (have reported the term's
/// fencing token) or are gone, and the first task start was ordered.
///
/// Has no side effect besides the log; the caller passes the time. Owned by `LeaderState` and
/// guarded by the leader mutex.
#pragma once

#include <chrono>

#include "core/controller.hpp"

namespace bendspindle::state {

/// The failover progress of one term.
class FailoverProgress {
  public:
    using Clock = std::chrono::steady_clock;
    explicit FailoverProgress(Clock::time_point elected_at) : elected_at_(elected_at) {}

    /// Records and logs that the records are loaded into `controller`, which is about to lead.
    void on_records_loaded(const core::Controller& controller, Clock::time_point now);
    /// Logs the milestones reached since the last call. Costs little once all were logged.
    void observe(const core::Controller& controller, Clock::time_point now);
    /// Returns whether this term has made progress: a recorded machine was fenced or there was
    /// none, and a minimum time has passed since the election.
    [[nodiscard]] bool has_progressed(Clock::time_point now) const;

  private:
    void observe_machines(const core::Controller& controller, Clock::time_point now);
    [[nodiscard]] double seconds_since_election(Clock::time_point now) const {
        return std::chrono::duration<double>(now - elected_at_).count();
    }

    Clock::time_point elected_at_;
    std::size_t recorded_machines_ = 0;
    bool any_fenced_ = false;
    bool half_logged_ = false;
    bool all_logged_ = false;
    bool first_start_logged_ = false;
};

}  // namespace bendspindle::state
