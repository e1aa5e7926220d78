// The role of this controller, as the rest of it reads it: who is the leader, and whether its own
// lease in the state service is valid. `LeaderElector` is the real one.
#pragma once

#include <cstdint>
#include <string>

#include "core/model/types.hpp"

namespace bendspindle::leadership {

struct LeadershipStatus {
    std::uint64_t term = 0;  // of the last view known; 0: none
    std::string leader;      // who acts, as far as known; empty: nobody
    bool leading = false;    // this controller
    std::uint64_t leader_key_revision = 0;
};

class Leadership {
  public:
    virtual ~Leadership() = default;
    virtual LeadershipStatus status() const = 0;
    // Whether no other controller can act yet, judged by this one's own clock.
    virtual bool lease_valid() const = 0;
    // Up to when that was or will be so.
    virtual core::TimePoint lease_end() const = 0;
    // Whether this life has read the view, or written it, in the state service.
    virtual bool knows_leadership_record() const = 0;
    // Somebody has proof that another controller acts under a higher term.
    virtual void observe_newer_term(std::uint64_t term) = 0;
    // A peer's word who acts; empty: that somebody does. A higher term ends this controller's own
    // acting.
    virtual void learn_leader(std::uint64_t term, const std::string& leader) = 0;
};

}  // namespace bendspindle::leadership
