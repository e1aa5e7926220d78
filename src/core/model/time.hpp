/// Time types of the core. The core reads no clock: the current time is always an argument.
#pragma once

#include <chrono>

namespace bendspindle::core {

/// A point in time on the controller's steady clock.
using TimePoint = std::chrono::steady_clock::time_point;
/// A wall-clock time for users and other controllers; never compared with a `TimePoint`.
using WallTime = std::chrono::system_clock::time_point;
using Seconds = std::chrono::duration<double>;

/// Returns the time `by` after `t`.
[[nodiscard]] inline TimePoint later(TimePoint t, Seconds by) {
    return t + std::chrono::duration_cast<TimePoint::duration>(by);
}
/// Returns the time from `from` to `to`; negative if `to` is earlier.
[[nodiscard]] inline Seconds between(TimePoint from, TimePoint to) {
    return Seconds(to - from);
}

}  // namespace bendspindle::core
