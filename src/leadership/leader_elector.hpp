// The controller's lease, and who acts: the view and the leader key in the state service.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "core/model/types.hpp"
#include "io/clock.hpp"
#include "leadership/election.hpp"
#include "leadership/leadership.hpp"
#include "state/key_value_store.hpp"

namespace bendspindle::leadership {

class LeaderElector : public Leadership {
  public:
    using Clock = std::chrono::steady_clock;
    struct Events {
        std::function<void(std::uint64_t term, std::uint64_t leader_key_revision)> on_elected;
        std::function<void()> on_deposed;
    };

    LeaderElector(state::KeyValueStore& store, std::string name, core::Seconds lease, Events events,
                  io::ClockFunction clock = io::steady_clock());
    // Each runs until the process ends: one keeps the lease and looks who acts, the other waits
    // for news of the leader so that the first looks at once.
    void run();
    // One round of `run`, without its pauses.
    void round(bool look_who_acts);
    void watch();
    // Acts no more and gives the lease up, so that another controller acts at once. For good.
    void resign();
    // The same for a while: if nobody else acts, this controller does again.
    void yield_leadership();

    LeadershipStatus status() const override;
    bool lease_valid() const override;
    core::TimePoint lease_end() const override;
    bool knows_leadership_record() const override;
    // From when on finals may be recorded. After a return over the key of a former life, that life,
    // if it is not over after all, may believe in its lease for as long as a lease; what it then
    // tells of an open job must not be older than a final told elsewhere.
    Clock::time_point terminal_states_allowed_from() const;
    // What this controller does as the one that acts gets somewhere: its next life may return at
    // once.
    void made_progress();
    void observe_newer_term(std::uint64_t term) override;
    void learn_leader(std::uint64_t term, const std::string& leader) override;

  private:
    void renew();
    std::optional<bool> holds_key(std::uint64_t mod_revision);
    void look();
    void take_over(const std::optional<LeaderKey>& former,
                   const std::optional<wire::LeadershipRecord>& view,
                   std::uint64_t leadership_record_revision, const Candidate& self);
    void end_former_lease();
    void record_progress();
    void step_down();
    bool yielding() const;
    void let_others_go_first();

    state::KeyValueStore& store_;
    const std::string name_;
    const core::Seconds lease_time_;
    const Events events_;
    const io::ClockFunction clock_;
    mutable std::mutex mutex_;
    LeadershipStatus status_;
    std::optional<std::uint64_t> lease_;
    Clock::time_point valid_until_{};
    Clock::time_point next_renewal_{};
    std::condition_variable wake_;
    bool look_now_ = true;
    bool resigned_ = false;
    std::uint64_t leader_key_seen_ = 0;  // mod_revision of the leader key whose view was read
    std::uint64_t incarnation_ = 0;
    bool knows_leadership_record_ = false;
    bool just_restarted_ = true;  // until it acts or sees another act
    bool yielded_ = false;
    Clock::time_point yielding_until_{};
    std::optional<std::uint64_t> former_lease_;  // of a former life, to be ended
    Clock::time_point terminal_states_allowed_from_{};
    wire::LeadershipRecord view_;  // as written, while acting
    std::uint64_t leadership_record_revision_ = 0;
    bool progress_ = false;
};

}  // namespace bendspindle::leadership
