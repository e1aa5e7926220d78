/// Election and lease: this controller's lease in the key-value store, the leader key and the
/// leadership record.
///
/// The daemon runs `run` and `watch` on a thread each; `resign` and `yield_leadership` come from
/// others. What must hold: this controller leads only while the leader key is its own, and judges
/// its lease by its own clock, on the safe side.
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

/// `run`, `round`, `maintain_lease` and `check_leadership` belong to one thread; the rest is safe
/// from any.
class LeaderElector : public Leadership {
  public:
    using Clock = std::chrono::steady_clock;

    /// Called without the elector's lock, by the thread that noticed the change.
    struct Events {
        /// This controller has become the leader. `leader_key_revision`: the condition of its
        /// writes.
        std::function<void(std::uint64_t term, std::uint64_t leader_key_revision)> on_elected;
        /// It leads no more.
        std::function<void()> on_deposed;
    };

    /// `store` outlives this. `lease`: how long this controller's lease lasts unrenewed.
    LeaderElector(state::KeyValueStore& store, std::string name, core::Seconds lease, Events events,
                  io::ClockFunction clock = io::steady_clock());

    /// Keeps the lease and checks the leadership, until the process ends.
    void run();
    /// Waits for changes of the leader key, so that `run` checks at once; until the process ends.
    void watch();

    /// One round of `run` without its pauses: both of the following.
    void round();
    /// Renews the lease if that is due, and settles what the election left to do: the lease of a
    /// former incarnation, the count of restarts.
    void maintain_lease();
    /// Reads which controller leads, and becomes the leader if none does.
    void check_leadership();

    /// Leads no more and revokes the lease, so that another controller is elected at once. For
    /// good.
    void resign();
    /// The same for a while: if no other controller is elected, this one is again.
    void yield_leadership();

    LeadershipStatus status() const override;
    bool lease_valid() const override;
    core::TimePoint lease_end() const override;
    bool knows_leadership_record() const override;
    void observe_newer_term(std::uint64_t term) override;
    void learn_leader(std::uint64_t term, const std::string& leader) override;

    /// From when on terminal states may be recorded; `max()`: not yet known. After reclaiming the
    /// leadership, the former incarnation, should it still run, may believe in its lease for as
    /// long as a lease lasts; what it answers of an open job meanwhile must not be older than a
    /// terminal state that another controller has answered.
    Clock::time_point terminal_states_allowed_from() const;
    /// This controller makes progress as the leader: its next incarnation may reclaim the
    /// leadership at once.
    void made_progress();

  private:
    // The leader key and the leadership record, read one after the other.
    struct StoredLeadership {
        std::optional<LeaderKey> key;
        std::optional<wire::LeadershipRecord> record;
        std::uint64_t record_revision = 0;  // 0 without a record: it must not exist
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
    bool yielding() const;
    void begin_yielding();
    std::optional<std::uint64_t> own_lease() const;
    void request_check();  // needs the lock

    state::KeyValueStore& store_;
    const std::string name_;
    const core::Seconds lease_time_;
    const Events events_;
    const io::ClockFunction clock_;
    const std::uint64_t incarnation_;  // a random number for this process
    LeadershipStore leadership_store_;

    // Guards the members up to the next empty line; held across no call out.
    mutable std::mutex mutex_;
    std::condition_variable check_wanted_;  // `check_now_` was set
    bool check_now_ = true;
    LeadershipStatus status_;
    std::optional<std::uint64_t> lease_;
    Clock::time_point valid_until_{};
    Clock::time_point next_renewal_{};
    Clock::time_point yielding_until_{};
    Clock::time_point terminal_states_allowed_from_{};
    // Of the leader key whose leadership record was read: nothing new while it stays.
    std::optional<std::uint64_t> leader_key_seen_;
    bool resigned_ = false;
    bool knows_leadership_record_ = false;
    bool progress_ = false;

    // Of the thread that calls `round`, without a lock.
    bool just_restarted_ = true;  // until it leads or sees another controller lead
    bool yielded_ = false;
    std::optional<std::uint64_t> former_lease_;  // of a former incarnation, to be revoked
    wire::LeadershipRecord written_record_;      // as written, while leading
    std::uint64_t written_record_revision_ = 0;
};

}  // namespace bendspindle::leadership
