/// Leader election: maintains this controller's lease in the key-value store, the leader key and
/// the leadership record.
///
/// The daemon runs `run` and `watch` on one thread each; other threads call `resign` and
/// `yield_leadership`. Invariant: this controller leads only while the leader key is its own, and
/// it considers its lease expired, by its own clock, no later than the store does.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/model/types.hpp"
#include "io/clock.hpp"
#include "leadership/election.hpp"
#include "leadership/leadership.hpp"
#include "leadership/leadership_store.hpp"
#include "state/key_value_store.hpp"

namespace bendspindle::leadership {

/// Elector of this controller. `run`, `run_once`, `maintain_lease` and `check_leadership` must be
/// called from one thread; the other functions are thread-safe.
class LeaderElector : public Leadership {
  public:
    using Clock = std::chrono::steady_clock;

    /// Callbacks, called by the thread that noticed the change, without the elector's mutex.
    struct Events {
        /// Called when this controller becomes the leader. Its writes are conditional on
        /// `leader_key_revision`.
        std::function<void(std::uint64_t term, std::uint64_t leader_key_revision)> on_elected;
        /// Called when this controller is no longer the leader.
        std::function<void()> on_deposed;
    };

    /// `store` must outlive this object. `lease`: duration of this controller's lease without a
    /// renewal.
    LeaderElector(state::KeyValueStore& store, std::string name, core::Seconds lease, Events events,
                  io::ClockFunction clock = io::steady_clock());

    /// Maintains the lease and checks the leadership until the process ends.
    void run();
    /// Watches the leader key until the process ends and makes `run` check it at once after a
    /// change.
    void watch();

    /// Performs one iteration of `run` without its waits: `maintain_lease`, then
    /// `check_leadership`.
    void run_once();
    /// Renews the lease when that is due, and completes the work that follows an election: revokes
    /// the lease of a former incarnation and resets the restart count.
    void maintain_lease();
    /// Reads which controller leads and becomes the leader if there is none.
    void check_leadership();

    /// Steps down permanently and revokes the lease, so that another controller is elected at once.
    void resign();
    /// Steps down temporarily and revokes the lease. If no other controller is elected meanwhile,
    /// this one is elected again.
    void yield_leadership();

    LeadershipStatus status() const override;
    bool lease_valid() const override;
    core::TimePoint lease_end() const override;
    bool knows_leadership_record() const override;
    void observe_newer_term(std::uint64_t term) override;
    void learn_leader(std::uint64_t term, const std::string& leader) override;

    /// Returns the time from which terminal states may be recorded, or `max()` if it is not known
    /// yet. After a reclaimed leadership, a former incarnation that is still running may consider
    /// its lease valid for up to one lease duration. In that time it may report a job as open,
    /// which must not follow a terminal state that another controller has already reported.
    Clock::time_point terminal_states_allowed_from() const;
    /// Records that this controller makes progress as the leader, so that its next incarnation may
    /// reclaim the leadership at once.
    void record_progress();

  private:
    [[nodiscard]] std::uint64_t watch_once(std::uint64_t since);
    // Leader key and leadership record, read one after the other and not atomically.
    struct StoredLeadership {
        std::optional<LeaderKey> key;
        std::optional<wire::LeadershipRecord> record;
        std::uint64_t record_revision = 0;  // 0: the record must not exist when it is written
    };

    void renew_lease();
    bool keep_alive(std::uint64_t lease);
    std::optional<StoredLeadership> read_leadership();
    void follow(const StoredLeadership& stored);
    void become_leader(const StoredLeadership& stored, const Candidate& self);
    bool record_election(const StoredLeadership& stored, const Candidate& self,
                         const wire::LeadershipRecord& next, std::uint64_t leader_key_revision);
    void abandon_lease(std::uint64_t lease);
    void revoke_former_lease();
    void reset_restart_count();
    void step_down(std::string_view cause);
    bool is_yielding() const;
    void begin_yielding();
    std::optional<std::uint64_t> own_lease() const;
    void request_check();  // requires `mutex_`

    state::KeyValueStore& store_;
    const std::string name_;
    const core::Seconds lease_duration_;
    const Events events_;
    const io::ClockFunction clock_;
    const std::uint64_t incarnation_;  // random, identifies this process
    LeadershipStore leadership_store_;

    // Guards the members up to the next empty line. Never held during calls to the store or to
    // callbacks.
    mutable std::mutex mutex_;
    std::condition_variable check_condition_;  // signals that `check_requested_` was set
    bool check_requested_ = true;
    LeadershipStatus status_;
    std::optional<std::uint64_t> lease_;
    Clock::time_point lease_valid_until_{};
    Clock::time_point next_renewal_{};
    Clock::time_point yielding_until_{};
    Clock::time_point terminal_states_allowed_from_{};
    // Revision of the leader key for which the leadership record has been read. The record is not
    // read again while the revision is unchanged.
    std::optional<std::uint64_t> seen_leader_key_revision_;
    bool resigned_ = false;
    bool knows_leadership_record_ = false;
    bool made_progress_ = false;

    // Used only by the thread that calls `run_once`, without a lock.
    bool just_restarted_ = true;  // until this incarnation leads or sees another controller lead
    bool yielded_ = false;
    std::optional<std::uint64_t> former_lease_;  // lease of a former incarnation, to be revoked
    wire::LeadershipRecord written_record_;      // last record written while leading
    std::uint64_t written_record_revision_ = 0;
};

}  // namespace bendspindle::leadership
