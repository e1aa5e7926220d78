/// Leader's evidence from its peers that it is still the only leader: until when no other
/// controller can have confirmed a cancellation, and which peers know the cancellations that it
/// confirms.
///
/// `CancellationReplication` owns the object and guards it with its mutex. The class does no I/O,
/// starts no threads and takes the time as a parameter.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core/model/types.hpp"
#include "leadership/agent_lease_policy.hpp"

namespace bendspindle::leadership {

/// Record of peers' responses under the current term. One object serves all terms of a process;
/// `start_term` starts a new term. Not thread-safe.
class LeadershipProof {
  public:
    /// `controller_count`: number of controllers in the settings, this one included.
    LeadershipProof(const core::AgentTimings& timings, std::size_t controller_count)
        : renewal_bound_(renewal_bound(timings)), controller_count_(controller_count) {}

    /// Starts a term in which this controller is the leader and discards all responses of peers
    /// under earlier terms.
    void start_term(core::TimePoint now);

    /// Records that a peer, in response to a request sent at `requested_at`, knows this
    /// controller's term and no newer one.
    void record_confirmation(const std::string& peer, core::TimePoint requested_at);

    /// Records that a peer has acknowledged this controller's term.
    void record_acknowledgement(const std::string& peer) { acknowledged_.insert(peer); }

    /// Returns whether enough peers know this term that a former leader can no longer find a
    /// majority that confirms its own term.
    [[nodiscard]] bool acknowledged_by_quorum() const;

    /// Records that this controller may have sent the peer a cancellation snapshot at `now`.
    void record_snapshot_sent(const std::string& peer, core::TimePoint now) {
        snapshot_sent_at_[peer] = now;
    }

    /// Returns whether a cancellation that the peers in `informed` know may be confirmed to its
    /// user: every majority without this controller has a member that knows the cancellation, or no
    /// uninformed peer has received a snapshot recently enough to renew a lease.
    [[nodiscard]] bool may_confirm(const std::set<std::string>& informed,
                                   const std::set<std::string>& peers, core::TimePoint now) const;

    /// Returns the latest time, at most `now`, until which it is known that no other controller can
    /// have led. `lease_end`: end of this controller's own lease in the key-value store.
    [[nodiscard]] core::TimePoint sole_leader_until(core::TimePoint lease_end,
                                                    core::TimePoint now) const;

    /// Returns whether the leader may renew agents' leases at `now`.
    [[nodiscard]] bool may_renew(core::TimePoint lease_end, core::TimePoint now) const;

  private:
    const core::Seconds renewal_bound_;
    const std::size_t controller_count_;
    core::TimePoint term_started_at_{};
    std::map<std::string, core::TimePoint> confirmed_at_;  // by peer: when the request was sent
    std::set<std::string> acknowledged_;
    std::map<std::string, core::TimePoint> snapshot_sent_at_;
};

}  // namespace bendspindle::leadership
