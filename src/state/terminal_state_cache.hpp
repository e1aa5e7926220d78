/// A cache of the terminal states of jobs, so that repeated requests need no read of the store.
///
/// A terminal state never changes, so any controller may answer from the cache, leader or not. A
/// terminal state is added when its record is read or committed; user requests look it up. Bounded:
/// the oldest entry is evicted first. Thread-safe.
#pragma once

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/controller.hpp"

namespace bendspindle::state {

/// A bounded map from job ids to terminal states.
class TerminalStateCache {
  public:
    /// Creates a cache for at most `capacity` jobs.
    explicit TerminalStateCache(std::size_t capacity) : capacity_(capacity) {}

    /// Adds a job's terminal state. Keeps the existing one if there is one.
    void put(const std::string& id, core::TerminalState terminal_state) {
        const std::lock_guard lock(mutex_);
        if (!states_.try_emplace(id, terminal_state).second) return;
        insertion_order_.push_back(id);
        if (insertion_order_.size() <= capacity_) return;
        states_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }

    /// Returns the job's terminal state, or nothing if it is not cached.
    [[nodiscard]] std::optional<core::TerminalState> get(const std::string& id) const {
        const std::lock_guard lock(mutex_);
        const auto it = states_.find(id);
        if (it == states_.end()) return std::nullopt;
        return it->second;
    }

  private:
    const std::size_t capacity_;
    // Guards states_ and insertion_order_. No other mutex is taken with it held.
    mutable std::mutex mutex_;
    std::unordered_map<std::string, core::TerminalState> states_;
    std::deque<std::string> insertion_order_;  // oldest first
};

}  // namespace bendspindle::state
