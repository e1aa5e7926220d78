#include "leadership/election.hpp"

namespace bendspindle::leadership {

ElectionDecision decide_election(const std::optional<LeaderKey>& key,
                                 const std::optional<wire::LeadershipRecord>& record,
                                 const Candidate& self) {
    // Only the first check of an incarnation may take a key by the own name for a former one's: two
    // processes by one name would depose each other for ever
    // (LeaderElectorRestart.TwoProcessesOfOneNameSettleOnOneLeader).
    const bool held_by_former_incarnation =
        key && key->name == self.name && key->lease != self.lease && self.just_restarted;
    if (key && !held_by_former_incarnation) return ElectionDecision::follow;
    // A process that keeps restarting and keeps the leadership would never place anything
    // (LeaderElectorRestart.AControllerThatKeepsRestartingYieldsToAPeer).
    const bool keeps_restarting = self.just_restarted && record && record->leader == self.name &&
                                  record->consecutive_restarts >= max_consecutive_restarts;
    if (keeps_restarting && !self.yielded) return ElectionDecision::yield_leadership;
    return held_by_former_incarnation ? ElectionDecision::reclaim : ElectionDecision::take;
}

std::uint32_t next_consecutive_restarts(const std::optional<wire::LeadershipRecord>& record,
                                        const Candidate& self) {
    const bool same_leader = self.just_restarted && record && record->leader == self.name;
    return same_leader ? record->consecutive_restarts + 1 : 0;
}

}  // namespace bendspindle::leadership
