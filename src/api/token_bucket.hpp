/// A rate limit: so many a second, with what some seconds allow saved up at most.
///
/// Pure: the time is passed in. Not synchronized; its owner guards it.
#pragma once

#include <algorithm>

#include "core/model/types.hpp"

namespace bendspindle::api {

/// One rate limit.
class TokenBucket {
  public:
    /// Full at first: what `burst` allows at `per_second`.
    TokenBucket(double per_second, core::Seconds burst)
        : rate_(per_second), capacity_(per_second * burst.count()), tokens_(capacity_) {}

    /// Takes a token if there is one.
    [[nodiscard]] bool take(core::TimePoint now) {
        if (last_ != core::TimePoint{})
            tokens_ = std::min(capacity_, tokens_ + core::between(last_, now).count() * rate_);
        last_ = now;
        if (tokens_ < 1) return false;
        tokens_ -= 1;
        return true;
    }

  private:
    double rate_;
    double capacity_;
    double tokens_;
    core::TimePoint last_{};
};

}  // namespace bendspindle::api
