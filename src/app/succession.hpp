// Who takes the role, decided on what the state service holds. Pure: no call, no clock.
//
// A process that returns finds its former self's key, and nothing will ever renew that key's lease
// again. Waiting for the lease to end was all that stood between the return and acting: 3 to 4 s in
// which nothing new started. So it puts its own key over it by compare-and-set, under a higher
// epoch, as any follower does once the key is gone. docs/acceptance.md argues why two by one name,
// a frozen twin and late writes do no harm.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/records.hpp"

namespace bendspindle::app {

// The steward's key as it was read.
struct StewardKey {
    std::string name;
    std::uint64_t lease = 0;
    std::uint64_t stamp = 0;
};

struct Candidate {
    std::string name;
    std::uint64_t lease = 0;  // its own, valid
    // It has neither acted nor seen another act: a key by its name can only be a former life's.
    bool just_returned = false;
    bool gave_way = false;  // has let others go first already, in vain
};

enum class Succession : std::uint8_t {
    follow,     // somebody else acts, or may
    take,       // nobody does
    come_back,  // over the key of the own former life
    give_way,   // it is this one's turn, but it has kept ending: others go first for a while
};

// Lives without progress after which a controller gives way.
inline constexpr std::uint32_t most_returns = 3;

// `key`: none if there is none. `view`: none before the very first.
Succession succession(const std::optional<StewardKey>& key,
                      const std::optional<wire::ViewRecord>& view, const Candidate& self);
// How many lives of the next steward will have begun to act one after the other.
std::uint32_t returns_of_next(const std::optional<wire::ViewRecord>& view, const Candidate& self);

}  // namespace bendspindle::app
