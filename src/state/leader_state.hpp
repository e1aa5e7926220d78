/// What the threads of a controller share: the core while this controller is the leader, and the
/// cloud's machine types, which followers need too.
///
/// Everything that belongs to the leader is reached through `lock()` only. The lock is short: no
/// call to another process is made under it. A thread takes what it needs, unlocks, calls, and
/// comes back with the outcome; it then checks the term, since it may have been deposed meanwhile.
///
/// Lock order, outermost first: the leader mutex (here); the mutex of
/// `leadership::CancellationReplication`; that of `leadership::LeaderElector`. The machine types'
/// mutex (here) and that of `TerminalStateCache` are taken inside the leader mutex too, and nothing
/// inside them. Whatever may depose this controller (`Leadership::observe_newer_term`,
/// `learn_leader`) takes the leader mutex and is called with none of these held.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "core/controller.hpp"
#include "state/failover_progress.hpp"
#include "state/job_watch_cursor.hpp"

namespace bendspindle::state {

/// The shared state of one controller, leader or not.
class LeaderState {
  public:
    class Access;

    LeaderState() = default;
    LeaderState(const LeaderState&) = delete;
    LeaderState& operator=(const LeaderState&) = delete;
    LeaderState(LeaderState&&) = delete;
    LeaderState& operator=(LeaderState&&) = delete;
    ~LeaderState() = default;

    /// Waits for the leader mutex and holds it as long as the result lives. Not recursive.
    [[nodiscard]] Access lock();

    /// The machine types of the cloud's catalog; empty until it was read. The leader plans with
    /// them, followers judge by them what can ever run. `set_machine_types` takes the
    /// leader mutex too, so it is not for a caller that holds `lock()`.
    [[nodiscard]] std::vector<core::MachineType> machine_types() const;
    [[nodiscard]] bool knows_machine_types() const;
    void set_machine_types(std::vector<core::MachineType> types);

  private:
    // Guards machine_types_. Taken while holding leader_mutex_, never the other way round.
    mutable std::mutex machine_types_mutex_;
    std::vector<core::MachineType> machine_types_;

    // Guards everything below.
    std::mutex leader_mutex_;
    std::condition_variable committed_;            // a record became durable, or never will
    std::condition_variable write_requested_;      // for the state writer
    std::condition_variable placement_requested_;  // for the placement loop
    std::unique_ptr<core::Controller> controller_;
    std::optional<FailoverProgress> failover_progress_;
    std::uint64_t leader_key_revision_ = 0;
    JobWatchCursor job_watch_cursor_;
    bool write_pending_ = false;
    bool placement_pending_ = false;
};

/// The leader's state, with its mutex held. References and pointers from here are valid while the
/// mutex is held: ask again after a wait or `relock()`.
class LeaderState::Access {
  public:
    using Milliseconds = std::chrono::milliseconds;

    explicit Access(LeaderState& state) : state_(state), lock_(state.leader_mutex_) {}

    /// Null while another controller is the leader, or while the records are being loaded.
    [[nodiscard]] core::Controller* controller() const { return state_.controller_.get(); }
    /// The same, if it still is the one of this term.
    [[nodiscard]] core::Controller* controller_of(std::uint64_t term) const;

    /// A controller whose records were loaded begins to lead, under this revision of the leader
    /// key.
    void install(std::unique_ptr<core::Controller> loaded, std::uint64_t leader_key_revision);
    /// Deposed: those who wait for a commit are woken, and find no controller.
    void remove_controller();
    /// Proves leadership in each write.
    [[nodiscard]] std::uint64_t leader_key_revision() const { return state_.leader_key_revision_; }
    /// Of the present controller.
    [[nodiscard]] std::optional<FailoverProgress>& failover_progress() const {
        return state_.failover_progress_;
    }
    [[nodiscard]] JobWatchCursor& job_watch_cursor() const { return state_.job_watch_cursor_; }

    /// Wakes the state writer: the core may have records to write.
    void request_write();
    [[nodiscard]] bool write_requested() const { return state_.write_pending_; }
    /// Waits for a request, which stays until it is taken, or for so long at most.
    void wait_for_write_request(Milliseconds limit);
    void take_write_request() { state_.write_pending_ = false; }

    /// Wakes the placement loop: tasks or capacity may have changed.
    void request_placement();
    [[nodiscard]] bool placement_requested() const { return state_.placement_pending_; }
    /// As `wait_for_write_request`.
    void wait_for_placement_request(core::Seconds limit);
    void take_placement_request() { state_.placement_pending_ = false; }

    /// Wakes those who wait in `wait_for_commit`.
    void notify_committed() { state_.committed_.notify_all(); }
    /// Waits until `ready()`, which is called with the mutex held, or for so long at most.
    template <typename Ready>
    bool wait_for_commit(Milliseconds limit, Ready ready) {
        return state_.committed_.wait_for(lock_, limit, ready);
    }

    /// For a call to another process.
    void unlock() { lock_.unlock(); }
    void relock() { lock_.lock(); }

  private:
    LeaderState& state_;
    std::unique_lock<std::mutex> lock_;  // of state_.leader_mutex_
};

inline LeaderState::Access LeaderState::lock() {
    return Access(*this);
}

}  // namespace bendspindle::state
