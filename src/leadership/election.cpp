#include "leadership/election.hpp"

namespace bendspindle::leadership {

ElectionDecision decide_election(const std::optional<LeaderKey>& key,
                                 const std::optional<wire::LeadershipRecord>& record,
                                 const Candidate& self) {
    // A leader key with this controller's name counts as a former incarnation's only in the first
    // check after a restart. Otherwise two processes with the same name would depose each other
    // endlessly (LeaderElectorRestart.TwoProcessesOfOneNameSettleOnOneLeader).
    const bool held_by_former_incarnation =
        key && key->name == self.name && key->lease != self.lease && self.just_restarted;
    if (key && !held_by_former_incarnation) return ElectionDecision::follow;
    // A controller that keeps restarting must not keep the leadership, because no task would ever
    // be placed (LeaderElectorRestart.AControllerThatKeepsRestartingYieldsToAPeer).
    const bool keeps_restarting = self.just_restarted && record && record->leader == self.name &&
                                  record->consecutive_restarts >= max_consecutive_restarts;
    if (keeps_restarting && !self.yielded) return ElectionDecision::yield_leadership;
    return held_by_former_incarnation ? ElectionDecision::reclaim : ElectionDecision::acquire;
}

std::uint32_t next_consecutive_restarts(const std::optional<wire::LeadershipRecord>& record,
                                        const Candidate& self) {
    const bool same_leader = self.just_restarted && record && record->leader == self.name;
    return same_leader ? record->consecutive_restarts + 1 : 0;
}

}  // namespace bendspindle::leadership
