/// The health of this controller, for the health check of the load balancer.
///
/// Owns the time of the leader's last announcement. Thread-safe.
#pragma once

#include <atomic>
#include <chrono>

#include "leadership/peers.hpp"
#include "state/key_value_store.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::api {

/// The health rule and the data that it evaluates.
class Health {
  public:
    /// The referenced objects must outlive the instance.
    Health(const state::LeaderState& leader_state, const state::KeyValueStore& store,
           const leadership::Peers& peers);

    /// Records that the leader has announced itself.
    void record_leader_announcement() { leader_announced_at_ = Clock::now(); }
    /// Returns whether the load balancer may send users to this controller.
    [[nodiscard]] bool healthy() const;

  private:
    using Clock = std::chrono::steady_clock;

    const state::LeaderState& leader_state_;
    const state::KeyValueStore& store_;
    const leadership::Peers& peers_;
    std::atomic<Clock::time_point> leader_announced_at_{Clock::time_point{}};
};

}  // namespace bendspindle::api
