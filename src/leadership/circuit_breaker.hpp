/// A circuit breaker for each peer by its name: after a failed call it is open for a fixed time, in
/// which the peer is not called.
///
/// Owned and locked by `Peers`. Pure: the time is passed in.
#pragma once

#include <map>
#include <string>

#include "core/model/types.hpp"

namespace bendspindle::leadership {

/// Not thread-safe.
class CircuitBreaker {
  public:
    /// `open_for`: how long a peer is not called after a failure.
    explicit CircuitBreaker(core::TimePoint::duration open_for) : open_for_(open_for) {}

    /// A call to the peer has failed at `now`.
    void record_failure(const std::string& peer, core::TimePoint now) {
        open_until_[peer] = now + open_for_;
    }

    /// Whether the peer must not be called at `now`.
    [[nodiscard]] bool is_open(const std::string& peer, core::TimePoint now) const {
        const auto until = open_until_.find(peer);
        return until != open_until_.end() && now < until->second;
    }

  private:
    const core::TimePoint::duration open_for_;
    std::map<std::string, core::TimePoint> open_until_;
};

}  // namespace bendspindle::leadership
