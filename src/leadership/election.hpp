/// Which controller becomes the leader, decided on what the key-value store holds. Pure: no call,
/// no clock; called by `LeaderElector`.
///
/// A process that restarts finds the leader key of its former incarnation, whose lease nobody will
/// renew again. Waiting for that lease to expire was all that stood between the restart and
/// leading: 3 to 4 s in which nothing new started. So it reclaims the leadership: it puts its own
/// key over the former one by compare-and-swap, under a newer term, as any follower does once the
/// key is gone. docs/service-levels.md argues why two processes by one name, a stalled twin and
/// late writes do no harm.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/records.hpp"

namespace bendspindle::leadership {

/// The leader key as it was read.
struct LeaderKey {
    std::string name;                ///< of the controller that wrote it
    std::uint64_t lease = 0;         ///< that it expires with
    std::uint64_t mod_revision = 0;  ///< of the key in the store
};

/// This controller, as the election sees it.
struct Candidate {
    std::string name;
    std::uint64_t lease = 0;  ///< its own, valid
    /// It has neither led nor seen another controller lead: a key by its name can only be of a
    /// former incarnation.
    bool just_restarted = false;
    /// It has yielded already, and no other controller became the leader.
    bool yielded = false;
};

/// What the candidate is to do.
enum class ElectionDecision : std::uint8_t {
    follow,            ///< another controller leads, or may
    take,              ///< none does: become the leader
    reclaim,           ///< become the leader, over the key of the own former incarnation
    yield_leadership,  ///< it would be elected, but keeps restarting: others go first for a while
};

/// Restarts without progress, one after the other, after which a controller yields.
inline constexpr std::uint32_t max_consecutive_restarts = 3;

/// `key`: none if no leader key is held. `record`: none before the very first election.
[[nodiscard]] ElectionDecision decide_election(const std::optional<LeaderKey>& key,
                                               const std::optional<wire::LeadershipRecord>& record,
                                               const Candidate& self);

/// How many incarnations of the next leader will have been elected one after the other, beyond the
/// first.
[[nodiscard]] std::uint32_t next_consecutive_restarts(
    const std::optional<wire::LeadershipRecord>& record, const Candidate& self);

}  // namespace bendspindle::leadership
