/// Interface to the leadership state of this controller: which controller leads, under which term,
/// and whether this controller's own lease in the key-value store is valid.
///
/// `LeaderElector` implements the interface; tests and simulations substitute their own.
#pragma once

#include <cstdint>
#include <string>

#include "core/model/types.hpp"

namespace bendspindle::leadership {

/// Snapshot of what this controller knows about the leadership.
struct LeadershipStatus {
    std::uint64_t term = 0;  ///< newest known term; 0 until a leadership record has been read
    std::string leader;      ///< name of the leader; empty if no leader is known
    bool leading = false;    ///< whether this controller is the leader
    std::uint64_t leader_key_revision = 0;  ///< revision of its leader key; 0 unless leading
};

/// Source of the leadership state. Thread-safe.
class Leadership {
  public:
    virtual ~Leadership() = default;
    /// Returns the current leadership state.
    virtual LeadershipStatus status() const = 0;
    /// Returns whether this controller's lease is valid by its own clock, so that no other
    /// controller can be the leader if this one is.
    virtual bool lease_valid() const = 0;
    /// Returns the end of this controller's lease, which may be in the past.
    virtual core::TimePoint lease_end() const = 0;
    /// Returns whether this incarnation has read or written the leadership record.
    virtual bool knows_leadership_record() const = 0;
    /// Handles evidence that another controller leads under `term`. Has no effect unless the term
    /// is newer than the newest known one.
    virtual void observe_newer_term(std::uint64_t term) = 0;
    /// Records a peer's statement that `leader` leads under `term`; an empty name means that the
    /// peer knows only the term. A term newer than the newest known one ends this controller's own
    /// leadership.
    virtual void learn_leader(std::uint64_t term, const std::string& leader) = 0;
};

}  // namespace bendspindle::leadership
