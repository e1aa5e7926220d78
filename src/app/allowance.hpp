// So many a second, with what one second allows in hand at most. Pure: the time is passed in.
#pragma once

#include <algorithm>

#include "core/types.hpp"

namespace bendspindle::app {

class Allowance {
  public:
    explicit Allowance(double per_second) : rate_(per_second), left_(per_second) {}
    // Takes one if there is one.
    bool take(core::TimePoint now) {
        if (last_ != core::TimePoint{})
            left_ = std::min(rate_, left_ + core::between(last_, now).count() * rate_);
        last_ = now;
        if (left_ < 1) return false;
        left_ -= 1;
        return true;
    }

  private:
    const double rate_;
    double left_;
    core::TimePoint last_{};
};

}  // namespace bendspindle::app
