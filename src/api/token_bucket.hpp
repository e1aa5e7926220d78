// So many a second, with what some seconds allow in hand at most. Pure: the time is passed in.
#pragma once

#include <algorithm>

#include "core/model/types.hpp"

namespace bendspindle::api {

class TokenBucket {
  public:
    TokenBucket(double per_second, core::Seconds in_hand)
        : rate_(per_second), most_(per_second * in_hand.count()), left_(most_) {}
    // Takes one if there is one.
    bool take(core::TimePoint now) {
        if (last_ != core::TimePoint{})
            left_ = std::min(most_, left_ + core::between(last_, now).count() * rate_);
        last_ = now;
        if (left_ < 1) return false;
        left_ -= 1;
        return true;
    }

  private:
    const double rate_;
    const double most_;
    double left_;
    core::TimePoint last_{};
};

}  // namespace bendspindle::api
