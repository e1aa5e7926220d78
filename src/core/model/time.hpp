/// Times of the core. No clock is read here: time is always passed in.
#pragma once

#include <chrono>

namespace bendspindle::core {

/// A point on the controller's own steady clock. The core compares such points, it never asks for
/// one.
using TimePoint = std::chrono::steady_clock::time_point;
/// For users and other controllers; never compared with a `TimePoint`.
using WallTime = std::chrono::system_clock::time_point;
using Seconds = std::chrono::duration<double>;

[[nodiscard]] inline TimePoint later(TimePoint t, Seconds by) {
    return t + std::chrono::duration_cast<TimePoint::duration>(by);
}
/// Negative where `to` comes first.
[[nodiscard]] inline Seconds between(TimePoint from, TimePoint to) {
    return Seconds(to - from);
}

}  // namespace bendspindle::core
