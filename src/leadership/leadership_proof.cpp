#include "leadership/leadership_proof.hpp"

#include <algorithm>

namespace bendspindle::leadership {

using core::TimePoint;

void LeadershipProof::start_term(TimePoint now) {
    term_started_at_ = now;
    confirmed_at_.clear();
    acknowledged_.clear();
    snapshot_sent_at_.clear();
}

void LeadershipProof::record_confirmation(const std::string& peer, TimePoint requested_at) {
    auto& last = confirmed_at_[peer];
    last = std::max(last, requested_at);
}

bool LeadershipProof::acknowledged_by_quorum() const {
    return acknowledged_.size() >= peers_to_intersect_majorities(controller_count_);
}

bool LeadershipProof::may_confirm(const std::set<std::string>& informed,
                                  const std::set<std::string>& peers, TimePoint now) const {
    if (informed.size() >= peers_to_intersect_majorities(controller_count_)) return true;
    return std::all_of(peers.begin(), peers.end(), [&](const auto& peer) {
        if (informed.contains(peer)) return true;
        const auto sent = snapshot_sent_at_.find(peer);
        const auto last = sent == snapshot_sent_at_.end()
                              ? term_started_at_
                              : std::max(term_started_at_, sent->second);
        return core::between(last, now) > renewal_bound_ + confirmation_margin;
    });
}

TimePoint LeadershipProof::sole_leader_until(TimePoint lease_end, TimePoint now) const {
    const auto needed = peers_for_majority(controller_count_);
    if (needed == 0) return now;
    const auto by_lease = std::min(lease_end, now);
    const auto by_majority = latest_time_reached_by(confirmed_at_, needed);
    return by_majority ? std::max(by_lease, *by_majority) : by_lease;
}

bool LeadershipProof::may_renew(TimePoint lease_end, TimePoint now) const {
    return core::between(sole_leader_until(lease_end, now), now) <= renewal_bound_;
}

}  // namespace bendspindle::leadership
