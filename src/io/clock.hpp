/// The steady clock as a function, so that a simulation can pass its own time in. Taken by each
/// class outside the core that compares times.
#pragma once

#include <functional>

#include "core/model/types.hpp"

namespace bendspindle::io {

using ClockFunction = std::function<core::TimePoint()>;

inline ClockFunction steady_clock() {
    return [] { return core::TimePoint::clock::now(); };
}

}  // namespace bendspindle::io
