/// A token bucket: a rate limit that allows bursts.
///
/// Does no I/O; the caller passes the time. Not thread-safe; the owner synchronizes access.
#pragma once

#include <algorithm>

#include "core/model/types.hpp"

namespace bendspindle::api {

/// A limit of `per_second` operations per second, which saves unused ones for at most `burst`
/// seconds.
class TokenBucket {
  public:
    /// Creates a full bucket, which holds the tokens that `burst` seconds yield at `per_second`.
    TokenBucket(double per_second, core::Seconds burst)
        : rate_(per_second), capacity_(per_second * burst.count()), tokens_(capacity_) {}

    /// Takes a token if there is one. Returns whether there was one.
    [[nodiscard]] bool try_take(core::TimePoint now) {
        if (last_refill_ != core::TimePoint{})
            tokens_ =
                std::min(capacity_, tokens_ + core::between(last_refill_, now).count() * rate_);
        last_refill_ = now;
        if (tokens_ < 1) return false;
        tokens_ -= 1;
        return true;
    }

  private:
    double rate_;
    double capacity_;
    double tokens_;
    core::TimePoint last_refill_{};
};

}  // namespace bendspindle::api
