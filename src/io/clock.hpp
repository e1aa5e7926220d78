// The steady clock as a function, so that a simulation can lead the time.
#pragma once

#include <functional>

#include "core/model/types.hpp"

namespace bendspindle::io {

using ClockFunction = std::function<core::TimePoint()>;

inline ClockFunction steady_clock() {
    return [] { return core::TimePoint::clock::now(); };
}

}  // namespace bendspindle::io
