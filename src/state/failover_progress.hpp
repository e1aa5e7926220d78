/// How a failover goes, in log lines that operators and measurements read: how long after the
/// election the records were loaded, half and all recorded machines were fenced (have shown the
/// term's fencing token) or are gone, and the first task start was ordered.
///
/// Pure but for the log: the time is passed in. Owned by `LeaderState`, used under its lock.
#pragma once

#include <chrono>

#include "core/controller.hpp"

namespace bendspindle::state {

/// Of one term.
class FailoverProgress {
  public:
    using Clock = std::chrono::steady_clock;
    explicit FailoverProgress(Clock::time_point elected_at) : elected_at_(elected_at) {}

    /// The records are loaded into `controller`, which begins to lead.
    void loaded(const core::Controller& controller, Clock::time_point now);
    /// Logs what has happened since the last call; cheap once everything was logged.
    void observe(const core::Controller& controller, Clock::time_point now);
    /// Whether this term has got somewhere: a recorded machine was fenced, or there was none, and
    /// the controller has led for a while since.
    [[nodiscard]] bool progressed(Clock::time_point now) const;

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
