// Tells how a takeover goes, in log lines that operators and measurements read: how long after
// acting the records were loaded, half and all recorded machines confirmed, the first task ordered.
#pragma once

#include <chrono>

#include "core/controller.hpp"

namespace bendspindle::state {

class FailoverProgress {
  public:
    using Clock = std::chrono::steady_clock;
    explicit FailoverProgress(Clock::time_point leading_since) : leading_since_(leading_since) {}

    void loaded(const core::Controller& controller, Clock::time_point now);
    // Looks at what has happened since; cheap once everything was told.
    void look(const core::Controller& controller, Clock::time_point now);
    // Whether the controller has got somewhere: a recorded machine answered it, or there was none,
    // and it has acted for a while since.
    bool progressed(Clock::time_point now) const;

  private:
    double since(Clock::time_point now) const {
        return std::chrono::duration<double>(now - leading_since_).count();
    }

    Clock::time_point leading_since_;
    std::size_t recorded_ = 0;
    bool some_answered_ = false;
    bool half_told_ = false;
    bool all_told_ = false;
    bool start_told_ = false;
};

}  // namespace bendspindle::state
