// The steady clock as a function, so that a simulation can lead the time.
#pragma once

#include <functional>

#include "core/types.hpp"

namespace bendspindle::app {

using ClockFunction = std::function<core::TimePoint()>;

inline ClockFunction steady_clock() {
    return [] { return core::TimePoint::clock::now(); };
}

}  // namespace bendspindle::app
