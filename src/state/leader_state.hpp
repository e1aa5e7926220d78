/// The state shared by the threads of a controller: the core while this controller is the leader,
/// and the cloud's machine types, which followers need too.
///
/// The leader's state is accessible only through `lock()`. The lock is held briefly: no call to
/// another process is made with it held. A thread copies what it needs, unlocks, makes its call,
/// locks again and applies the outcome; it then checks the term, because the controller may have
/// been deposed in the meantime.
///
/// Lock order, outermost first: the leader mutex (here); the mutex of
/// `leadership::CancellationReplication`; the mutex of `leadership::LeaderElector`. The mutex of
/// the machine types (here) and that of `TerminalStateCache` may also be taken with the leader
/// mutex held; no other mutex is taken inside them. Functions that may depose this controller
/// (`Leadership::observe_newer_term`, `learn_leader`) take the leader mutex and are called with
/// none of these mutexes held.
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

    /// Acquires the leader mutex, which the returned object holds until it is destroyed. Not
    /// recursive.
    [[nodiscard]] Access lock();

    /// Returns the machine types of the cloud's catalog; empty until the catalog was read. The
    /// leader plans with them; followers use them to reject jobs that can never run.
    [[nodiscard]] std::vector<core::MachineType> machine_types() const;
    [[nodiscard]] bool knows_machine_types() const;
    /// Replaces the machine types. Takes the leader mutex, so the caller must not hold it.
    void set_machine_types(std::vector<core::MachineType> types);

  private:
    // Guards machine_types_. May be taken with leader_mutex_ held, but not the other way round.
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

/// Access to the leader's state with the leader mutex held. References and pointers obtained from
/// it are valid while the mutex is held and must be obtained again after a wait or `relock()`.
class LeaderState::Access {
  public:
    using Milliseconds = std::chrono::milliseconds;

    explicit Access(LeaderState& state) : state_(state), lock_(state.leader_mutex_) {}

    /// Returns the controller, or null while this process does not lead or loads the records.
    [[nodiscard]] core::Controller* controller() const { return state_.controller_.get(); }
    /// Returns the controller if it leads in this term, otherwise null.
    [[nodiscard]] core::Controller* controller_for_term(std::uint64_t term) const;

    /// Makes a controller whose records are loaded the leading one. `leader_key_revision` is the
    /// mod_revision of its leader key.
    void install(std::unique_ptr<core::Controller> loaded, std::uint64_t leader_key_revision);
    /// Removes the controller of a deposed leader and wakes the threads in `wait_for_commit`, which
    /// then find no controller.
    void remove_controller();
    /// Returns the mod_revision of the leader key, which proves leadership in each write.
    [[nodiscard]] std::uint64_t leader_key_revision() const { return state_.leader_key_revision_; }
    /// Returns the failover progress of the current controller.
    [[nodiscard]] std::optional<FailoverProgress>& failover_progress() const {
        return state_.failover_progress_;
    }
    [[nodiscard]] JobWatchCursor& job_watch_cursor() const { return state_.job_watch_cursor_; }

    /// Wakes the state writer, because the core may have records to write.
    void request_write();
    [[nodiscard]] bool write_requested() const { return state_.write_pending_; }
    /// Waits until a write is requested, for at most `timeout`. The request stays pending until
    /// `take_write_request`.
    void wait_for_write_request(Milliseconds timeout);
    void take_write_request() { state_.write_pending_ = false; }

    /// Wakes the placement loop, because tasks or capacity may have changed.
    void request_placement();
    [[nodiscard]] bool placement_requested() const { return state_.placement_pending_; }
    /// Waits until placement is requested, for at most `timeout`. The request stays pending until
    /// `take_placement_request`.
    void wait_for_placement_request(core::Seconds timeout);
    void take_placement_request() { state_.placement_pending_ = false; }

    /// Wakes the threads in `wait_for_commit`.
    void notify_committed() { state_.committed_.notify_all(); }
    /// Waits until `ready()` returns true, for at most `timeout`. Calls `ready` with the mutex
    /// held. Returns its last result.
    template <typename Ready>
    bool wait_for_commit(Milliseconds timeout, Ready ready) {
        return state_.committed_.wait_for(lock_, timeout, ready);
    }

    /// Releases the leader mutex for a call to another process.
    void unlock() { lock_.unlock(); }
    /// Acquires the leader mutex again after `unlock()`.
    void relock() { lock_.lock(); }

  private:
    LeaderState& state_;
    std::unique_lock<std::mutex> lock_;  // of state_.leader_mutex_
};

inline LeaderState::Access LeaderState::lock() {
    return Access(*this);
}

}  // namespace bendspindle::state
