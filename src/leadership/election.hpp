// Who takes the role, decided on what the state service holds. Pure: no call, no clock.
//
// A process that returns finds its former self's key, and nothing will ever renew that key's lease
// again. Waiting for the lease to end was all that stood between the return and acting: 3 to 4 s in
// which nothing new started. So it puts its own key over it by compare-and-set, under a higher
// term, as any follower does once the key is gone. docs/acceptance.md argues why two by one name,
// a frozen twin and late writes do no harm.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/records.hpp"

namespace bendspindle::leadership {

// The leader's key as it was read.
struct LeaderKey {
    std::string name;
    std::uint64_t lease = 0;
    std::uint64_t mod_revision = 0;
};

struct Candidate {
    std::string name;
    std::uint64_t lease = 0;  // its own, valid
    // It has neither acted nor seen another act: a key by its name can only be a former life's.
    bool just_restarted = false;
    bool yielded = false;  // has let others go first already, in vain
};

enum class ElectionDecision : std::uint8_t {
    follow,            // somebody else acts, or may
    take,              // nobody does
    reclaim,           // over the key of the own former life
    yield_leadership,  // it is this one's turn, but it has kept ending: others go first for a while
};

// Lives without progress after which a controller gives way.
inline constexpr std::uint32_t max_consecutive_restarts = 3;

// `key`: none if there is none. `view`: none before the very first.
ElectionDecision decide_election(const std::optional<LeaderKey>& key,
                                 const std::optional<wire::LeadershipRecord>& view,
                                 const Candidate& self);
// How many lives of the next leader will have begun to act one after the other.
std::uint32_t next_consecutive_restarts(const std::optional<wire::LeadershipRecord>& view,
                                        const Candidate& self);

}  // namespace bendspindle::leadership
