/// Election rules: which controller becomes the leader, given the contents of the key-value store.
/// The functions are pure: they make no calls and read no clock. `LeaderElector` calls them.
///
/// A process that restarts finds the leader key of its former incarnation, whose lease is no longer
/// renewed. Waiting for that lease to expire delayed the election by 3 to 4 s, during which no task
/// was started. The process therefore reclaims the leadership: it replaces the former key with its
/// own by compare-and-swap, under a newer term, as any follower does once the key has expired.
/// docs/service-levels.md explains why two processes with the same name, a stalled former
/// incarnation and late writes are harmless.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/records.hpp"

namespace bendspindle::leadership {

/// Leader key as read from the key-value store.
struct LeaderKey {
    std::string name;                ///< name of the controller that wrote the key
    std::uint64_t lease = 0;         ///< lease under which the key is stored
    std::uint64_t mod_revision = 0;  ///< revision of the last change of the key
};

/// State of this controller that the election rules depend on.
struct Candidate {
    std::string name;
    std::uint64_t lease = 0;  ///< this controller's valid lease
    /// This incarnation has neither led nor seen another controller lead, so a leader key with its
    /// name belongs to a former incarnation.
    bool just_restarted = false;
    /// This controller has already yielded because it kept restarting, and no other controller has
    /// become the leader since.
    bool yielded = false;
};

/// Action that the candidate takes.
enum class ElectionDecision : std::uint8_t {
    follow,            ///< another controller is or may be the leader
    acquire,           ///< there is no leader key: become the leader
    reclaim,           ///< become the leader by replacing the key of the former incarnation
    yield_leadership,  ///< leave the election to peers for a while, because it keeps restarting
};

/// Number of consecutive restarts without progress after which a controller yields.
inline constexpr std::uint32_t max_consecutive_restarts = 3;

/// Returns the action of the candidate `self`. `key` is empty if no leader key exists, `record` if
/// there has been no election yet.
[[nodiscard]] ElectionDecision decide_election(const std::optional<LeaderKey>& key,
                                               const std::optional<wire::LeadershipRecord>& record,
                                               const Candidate& self);

/// Returns the restart count to store if `self` is elected: how many incarnations of it in a row
/// have been elected after the first one.
[[nodiscard]] std::uint32_t next_consecutive_restarts(
    const std::optional<wire::LeadershipRecord>& record, const Candidate& self);

}  // namespace bendspindle::leadership
