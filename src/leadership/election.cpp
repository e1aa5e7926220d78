#include "leadership/election.hpp"

namespace bendspindle::leadership {

ElectionDecision decide_election(const std::optional<LeaderKey>& key,
                                 const std::optional<wire::LeadershipRecord>& view,
                                 const Candidate& self) {
    // Guard against two by one name that depose each other for ever: only the first look of a life
    // may take a key by the own name for a former life's.
    const bool former =
        key && key->name == self.name && key->lease != self.lease && self.just_restarted;
    if (key && !former) return ElectionDecision::follow;
    // Guard against a process that keeps ending and keeps the role: nothing is ever placed.
    const bool keeps_ending = self.just_restarted && view && view->leader == self.name &&
                              view->consecutive_restarts >= max_consecutive_restarts;
    if (keeps_ending && !self.yielded) return ElectionDecision::yield_leadership;
    return former ? ElectionDecision::reclaim : ElectionDecision::take;
}

std::uint32_t next_consecutive_restarts(const std::optional<wire::LeadershipRecord>& view,
                                        const Candidate& self) {
    return self.just_restarted && view && view->leader == self.name ? view->consecutive_restarts + 1
                                                                    : 0;
}

}  // namespace bendspindle::leadership
