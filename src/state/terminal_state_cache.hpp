/// Terminal states of jobs, kept at hand so that repeated requests need no read of the store.
///
/// A terminal state never changes, so any controller may answer from here, leader or not. Written
/// by whoever has read or committed a terminal record; read by the handlers of users' requests.
/// Bounded: the oldest entry goes first. Safe for any thread.
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
    /// Keeps at most `capacity` jobs.
    explicit TerminalStateCache(std::size_t capacity) : capacity_(capacity) {}

    void put(const std::string& id, core::TerminalState terminal_state) {
        const std::lock_guard lock(mutex_);
        if (!known_.try_emplace(id, terminal_state).second) return;
        order_.push_back(id);
        if (order_.size() <= capacity_) return;
        known_.erase(order_.front());
        order_.pop_front();
    }

    [[nodiscard]] std::optional<core::TerminalState> get(const std::string& id) const {
        const std::lock_guard lock(mutex_);
        const auto it = known_.find(id);
        if (it == known_.end()) return std::nullopt;
        return it->second;
    }

  private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;  // guards known_ and order_; no other mutex is taken inside
    std::unordered_map<std::string, core::TerminalState> known_;
    std::deque<std::string> order_;  // oldest first
};

}  // namespace bendspindle::state
