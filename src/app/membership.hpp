// The controller's lease, and who acts: the view and the steward key in the state service.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "app/state_store.hpp"
#include "core/types.hpp"

namespace bendspindle::app {

struct Standing {
    std::uint64_t epoch = 0;  // of the last view known; 0: none
    std::string steward;      // who acts, as far as known; empty: nobody
    bool acting = false;      // this controller
    std::uint64_t steward_stamp = 0;
};

class Membership {
  public:
    using Clock = std::chrono::steady_clock;
    struct Events {
        std::function<void(std::uint64_t epoch, std::uint64_t steward_stamp)> took_over;
        std::function<void()> deposed;
    };

    Membership(StateStore& store, std::string name, core::Seconds lease, Events events);
    // Each runs until the process ends: one keeps the lease and looks who acts, the other waits
    // for news of the steward so that the first looks at once.
    void run();
    void watch();
    // Acts no more and gives the lease up, so that another controller acts at once. For good.
    void resign();

    Standing standing() const;
    // Whether no other controller can act yet, judged by this one's own clock.
    bool lease_valid() const;
    // Somebody has proof that another controller acts under a higher epoch.
    void suspect(std::uint64_t epoch);
    // A sibling's word that it acts. A higher epoch ends this controller's own acting.
    void heard(std::uint64_t epoch, const std::string& steward);

  private:
    void renew();
    void look();
    void take_over();
    void step_down();

    StateStore& store_;
    const std::string name_;
    const core::Seconds lease_time_;
    const Events events_;
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
};

}  // namespace bendspindle::app
