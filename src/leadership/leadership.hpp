/// The leadership of this controller, as the rest of the program reads it: which controller leads,
/// under which term, and whether this one's own lease in the key-value store is valid.
///
/// `LeaderElector` implements it; tests and simulations put their own in its place.
#pragma once

#include <cstdint>
#include <string>

#include "core/model/types.hpp"

namespace bendspindle::leadership {

/// What this controller knows of the leadership at one moment.
struct LeadershipStatus {
    std::uint64_t term = 0;  ///< the newest known; 0 before the first leadership record was read
    std::string leader;      ///< its name, as far as known; empty: no leader is known
    bool leading = false;    ///< this controller is the leader
    std::uint64_t leader_key_revision = 0;  ///< while leading: of its leader key, else 0
};

/// Safe from any thread.
class Leadership {
  public:
    virtual ~Leadership() = default;
    /// What is known now.
    virtual LeadershipStatus status() const = 0;
    /// Whether no other controller can lead yet, judged by this one's own clock.
    virtual bool lease_valid() const = 0;
    /// Up to when that was or will be so.
    virtual core::TimePoint lease_end() const = 0;
    /// Whether this incarnation has read or written the leadership record.
    virtual bool knows_leadership_record() const = 0;
    /// There is proof that another controller leads under this term, if it is newer than the one
    /// known.
    virtual void observe_newer_term(std::uint64_t term) = 0;
    /// A peer says which controller leads under this term; empty: it knows only that one does. A
    /// newer term than the one known ends this controller's own leadership.
    virtual void learn_leader(std::uint64_t term, const std::string& leader) = 0;
};

}  // namespace bendspindle::leadership
