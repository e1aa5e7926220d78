/// Whether this controller can serve users, for the load balancer's health check.
///
/// Owns when the leader was last heard. Safe for any thread.
#pragma once

#include <atomic>
#include <chrono>

#include "leadership/peers.hpp"
#include "state/key_value_store.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::api {

/// The health rule, and what it judges by.
class Health {
  public:
    /// All of these outlive it.
    Health(const state::LeaderState& leader_state, const state::KeyValueStore& store,
           const leadership::Peers& peers);

    /// The leader has announced itself.
    void leader_announced() { leader_announced_at_ = Clock::now(); }
    /// Whether the load balancer may send users here.
    [[nodiscard]] bool healthy() const;

  private:
    using Clock = std::chrono::steady_clock;

    const state::LeaderState& leader_state_;
    const state::KeyValueStore& store_;
    const leadership::Peers& peers_;
    std::atomic<Clock::time_point> leader_announced_at_{Clock::time_point{}};
};

}  // namespace bendspindle::api
