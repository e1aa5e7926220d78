/// Circuit breakers for calls to peers, one for each peer name. After a failed call the breaker is
/// open for a fixed time, during which the peer is not called.
///
/// `Peers` owns the object and guards it with a mutex. The class does no I/O and takes the time as
/// a parameter.
#pragma once

#include <map>
#include <string>

#include "core/model/types.hpp"

namespace bendspindle::leadership {

/// Set of circuit breakers by peer name. Not thread-safe.
class CircuitBreaker {
  public:
    /// `open_duration`: how long the breaker of a peer stays open after a failed call.
    explicit CircuitBreaker(core::TimePoint::duration open_duration)
        : open_duration_(open_duration) {}

    /// Opens the breaker of a peer whose call failed at `now`.
    void record_failure(const std::string& peer, core::TimePoint now) {
        open_until_[peer] = now + open_duration_;
    }

    /// Returns whether the peer must not be called at `now`.
    [[nodiscard]] bool is_open(const std::string& peer, core::TimePoint now) const {
        const auto until = open_until_.find(peer);
        return until != open_until_.end() && now < until->second;
    }

  private:
    const core::TimePoint::duration open_duration_;
    std::map<std::string, core::TimePoint> open_until_;
};

}  // namespace bendspindle::leadership
