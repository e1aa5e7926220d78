/// What the leader knows about its own leadership from its peers: up to when no other controller
/// can have confirmed a cancellation, and which peers know what this one confirms.
///
/// Owned and locked by `CancellationReplication`. Pure: the time is passed in, no thread, no call.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core/model/types.hpp"
#include "leadership/agent_lease_policy.hpp"

namespace bendspindle::leadership {

/// One object serves all terms of a process; `begin` starts a new one. Not thread-safe.
class LeadershipProof {
  public:
    /// `controllers`: how many the settings name, this one included.
    LeadershipProof(const core::AgentTimings& timings, std::size_t controllers)
        : bound_(renewal_bound(timings)), controllers_(controllers) {}

    /// This controller has been elected. What peers confirmed of an earlier term counts no more.
    void begin(core::TimePoint now);

    /// A peer that was asked at `asked_at` knows this controller's term, and no newer one.
    void record_confirmation(const std::string& peer, core::TimePoint asked_at);

    /// A peer has answered that it knows of this controller's term.
    void record_acknowledgement(const std::string& peer) { acknowledged_.insert(peer); }

    /// Whether so many peers know of this term that a former leader can no longer find a majority
    /// that confirms its own.
    [[nodiscard]] bool acknowledged_by_quorum() const;

    /// This controller may have sent the peer a cancellation snapshot at `now`.
    void record_snapshot_sent(const std::string& peer, core::TimePoint now) {
        snapshot_sent_at_[peer] = now;
    }

    /// Whether a cancellation that the peers in `informed` know of may be confirmed to its user:
    /// each majority without this controller has a member that knows it, or each of the others has
    /// had no snapshot for so long that it renews no lease.
    [[nodiscard]] bool may_confirm(const std::set<std::string>& informed,
                                   const std::set<std::string>& peers, core::TimePoint now) const;

    /// Up to when no other controller can have led, as far as is known; never after `now`.
    /// `lease_end`: of this controller's own lease in the key-value store.
    [[nodiscard]] core::TimePoint sole_leader_until(core::TimePoint lease_end,
                                                    core::TimePoint now) const;

    /// Whether the leader may renew leases of agents at `now`.
    [[nodiscard]] bool may_renew(core::TimePoint lease_end, core::TimePoint now) const;

  private:
    const core::Seconds bound_;
    const std::size_t controllers_;
    core::TimePoint began_{};
    std::map<std::string, core::TimePoint> confirmed_at_;  // by peer: when it was asked
    std::set<std::string> acknowledged_;
    std::map<std::string, core::TimePoint> snapshot_sent_at_;
};

}  // namespace bendspindle::leadership
