/// The steady clock as a function, so that simulations can replace it. Each class outside the core
/// that compares times takes a `ClockFunction`.
#pragma once

#include <functional>

#include "core/model/types.hpp"

namespace bendspindle::io {

using ClockFunction = std::function<core::TimePoint()>;

inline ClockFunction steady_clock() {
    return [] { return core::TimePoint::clock::now(); };
}

}  // namespace bendspindle::io
