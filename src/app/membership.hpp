// The controller's lease, and who acts: the view and the steward key in the state service.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "app/clock.hpp"
#include "app/role.hpp"
#include "app/state_store.hpp"
#include "app/succession.hpp"
#include "core/types.hpp"

namespace bendspindle::app {

class Membership : public Role {
  public:
    using Clock = std::chrono::steady_clock;
    struct Events {
        std::function<void(std::uint64_t epoch, std::uint64_t steward_stamp)> took_over;
        std::function<void()> deposed;
    };

    Membership(StateStore& store, std::string name, core::Seconds lease, Events events,
               ClockFunction clock = steady_clock());
    // Each runs until the process ends: one keeps the lease and looks who acts, the other waits
    // for news of the steward so that the first looks at once.
    void run();
    // One round of `run`, without its pauses.
    void round(bool look_who_acts);
    void watch();
    // Acts no more and gives the lease up, so that another controller acts at once. For good.
    void resign();
    // The same for a while: if nobody else acts, this controller does again.
    void give_way();

    Standing standing() const override;
    bool lease_valid() const override;
    core::TimePoint lease_end() const override;
    bool knows_view() const override;
    // From when on finals may be recorded. After a return over the key of a former life, that life,
    // if it is not over after all, may believe in its lease for as long as a lease; what it then
    // tells of an open job must not be older than a final told elsewhere.
    Clock::time_point finals_from() const;
    // What this controller does as the one that acts gets somewhere: its next life may return at
    // once.
    void made_progress();
    void suspect(std::uint64_t epoch) override;
    void heard(std::uint64_t epoch, const std::string& steward) override;

  private:
    void renew();
    std::optional<bool> holds_key(std::uint64_t stamp);
    void look();
    void take_over(const std::optional<StewardKey>& former,
                   const std::optional<wire::ViewRecord>& view, std::uint64_t view_stamp,
                   const Candidate& self);
    void end_former_lease();
    void record_progress();
    void step_down();
    bool giving_way() const;
    void let_others_go_first();

    StateStore& store_;
    const std::string name_;
    const core::Seconds lease_time_;
    const Events events_;
    const ClockFunction clock_;
    mutable std::mutex mutex_;
    Standing standing_;
    std::optional<std::uint64_t> lease_;
    Clock::time_point valid_until_{};
    Clock::time_point next_renewal_{};
    std::condition_variable wake_;
    bool look_now_ = true;
    bool resigned_ = false;
    std::uint64_t steward_seen_ = 0;  // stamp of the steward key whose view was read
    std::uint64_t incarnation_ = 0;
    bool knows_view_ = false;
    bool just_returned_ = true;  // until it acts or sees another act
    bool gave_way_ = false;
    Clock::time_point giving_way_until_{};
    std::optional<std::uint64_t> former_lease_;  // of a former life, to be ended
    Clock::time_point finals_from_{};
    wire::ViewRecord view_;  // as written, while acting
    std::uint64_t view_stamp_ = 0;
    bool progress_ = false;
};

}  // namespace bendspindle::app
