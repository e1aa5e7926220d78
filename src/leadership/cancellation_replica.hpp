/// Confirmed cancellations that a follower knows, from the leader's snapshots or, if the leader is
/// lost, from the snapshots of a majority of followers.
///
/// `CancellationReplication` owns the replica and guards it with its mutex. The class does no I/O,
/// starts no threads and takes the time as a parameter.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/model/types.hpp"
#include "leadership/agent_lease_policy.hpp"
#include "wire/peer.hpp"

namespace bendspindle::leadership {

/// Follower's set of cancelled jobs. A job is removed once its tasks must have ended on every
/// machine. Not thread-safe.
class CancellationReplica {
  public:
    /// `controller_count`: number of controllers in the settings, this one included.
    CancellationReplica(const core::AgentTimings& timings, std::size_t controller_count)
        : renewal_bound_(renewal_bound(timings)),
          retention_(timings.cancel * 2),
          min_retention_(timings.cancel),
          controller_count_(controller_count) {}

    /// Records that this controller knows the leadership record and retains cancellations from
    /// `now` on. Later calls have no effect.
    void start_recording(core::TimePoint now);

    /// Records that the leader, which may be this controller, is about to confirm the cancellation
    /// of a job.
    void record_cancellation(const std::string& job, core::TimePoint now);

    /// Applies the leader's response to a request sent at `requested_at`. A response older than the
    /// latest one applied removes nothing.
    void apply_leader_snapshot(const wire::peer::CancellationSnapshot& snapshot,
                               core::TimePoint requested_at);

    /// Applies the response to a request sent at `requested_at` of a follower that knows the same
    /// term and no newer one. Every majority has a member that knows a given confirmed cancellation
    /// until its deadline has passed. A follower that has retained cancellations for less than that
    /// deadline does not count towards the majority.
    void apply_follower_snapshot(const std::string& peer,
                                 const wire::peer::CancellationSnapshot& snapshot,
                                 core::TimePoint requested_at);

    /// Returns the snapshot that this controller sends as a follower. It contains only
    /// cancellations that were received from leaders.
    [[nodiscard]] wire::peer::CancellationSnapshot snapshot(core::TimePoint now) const;

    /// Returns whether a follower without a leader may renew agents' leases at `now`.
    [[nodiscard]] bool may_renew(core::TimePoint now) const;

    /// Returns stop commands, without a grace period, for the tasks in the heartbeat that are still
    /// running and belong to cancelled jobs.
    [[nodiscard]] std::vector<core::TaskCommand> stop_commands(const core::Heartbeat& heartbeat,
                                                               core::TimePoint now) const;

  private:
    using ExpiryByJob = std::map<std::string, core::TimePoint>;  // job -> when it is removed

    static bool contains(const ExpiryByJob& jobs, const std::string& job, core::TimePoint now);
    [[nodiscard]] bool covers_deadline(core::Seconds retained_for) const {
        return retained_for >= min_retention_;
    }

    const core::Seconds renewal_bound_;
    const core::Seconds retention_;
    const core::Seconds min_retention_;  // tasks of older cancellations must have ended by now
    const std::size_t controller_count_;
    std::optional<core::TimePoint> recording_since_;
    std::optional<core::TimePoint> complete_until_;  // every earlier confirmation is known
    // By peer: the last request to which it responded with sufficient retention.
    std::map<std::string, core::TimePoint> follower_requested_at_;
    ExpiryByJob jobs_from_leaders_;
    // Not included in snapshots: followers would return a job to each other and never remove it.
    ExpiryByJob jobs_from_followers_;
};

}  // namespace bendspindle::leadership
