// The role of this controller, as the rest of it reads it: who is the leader, and whether its own
// lease in the state service is valid. `Membership` is the real one.
#pragma once

#include <cstdint>
#include <string>

#include "core/types.hpp"

namespace bendspindle::app {

struct Standing {
    std::uint64_t epoch = 0;  // of the last view known; 0: none
    std::string steward;      // who acts, as far as known; empty: nobody
    bool acting = false;      // this controller
    std::uint64_t steward_stamp = 0;
};

class Role {
  public:
    virtual ~Role() = default;
    virtual Standing standing() const = 0;
    // Whether no other controller can act yet, judged by this one's own clock.
    virtual bool lease_valid() const = 0;
    // Up to when that was or will be so.
    virtual core::TimePoint lease_end() const = 0;
    // Whether this life has read the view, or written it, in the state service.
    virtual bool knows_view() const = 0;
    // Somebody has proof that another controller acts under a higher epoch.
    virtual void suspect(std::uint64_t epoch) = 0;
    // A peer's word who acts; empty: that somebody does. A higher epoch ends this controller's own
    // acting.
    virtual void heard(std::uint64_t epoch, const std::string& steward) = 0;
};

}  // namespace bendspindle::app
