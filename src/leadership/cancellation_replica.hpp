/// What a follower knows of confirmed cancellations: from the leader's snapshots or, with the
/// leader lost, from the snapshots of a majority of followers.
///
/// Owned and locked by `CancellationReplication`. Pure: the time is passed in, no thread, no call.
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

/// Not thread-safe. Jobs are forgotten once their tasks must have ended everywhere.
class CancellationReplica {
  public:
    /// `controllers`: how many the settings name, this one included.
    CancellationReplica(const core::AgentTimings& timings, std::size_t controllers)
        : bound_(renewal_bound(timings)),
          retention_(timings.cancel * 2),
          needed_memory_(timings.cancel),
          controllers_(controllers) {}

    /// From now on this controller knows the leadership record and keeps what it learns. Later
    /// calls change nothing.
    void begin(core::TimePoint now);

    /// The leader, this controller or another, is about to confirm a job's cancellation.
    void record_cancellation(const std::string& job, core::TimePoint now);

    /// The leader's answer to a request that was sent at `asked_at`. An older one than is known
    /// already takes nothing back.
    void apply_leader_snapshot(const wire::peer::CancellationSnapshot& snapshot,
                               core::TimePoint asked_at);

    /// The answer, to a request sent at `asked_at`, of a follower that knows the same term and no
    /// newer one. Each confirmed cancellation is known to a member of any majority, for as long as
    /// it matters; a follower that has kept cancellations for less than their deadline does not
    /// count for the majority.
    void apply_follower_snapshot(const std::string& peer,
                                 const wire::peer::CancellationSnapshot& snapshot,
                                 core::TimePoint asked_at);

    /// What this controller answers as a follower: only what it learnt from leaders.
    [[nodiscard]] wire::peer::CancellationSnapshot snapshot(core::TimePoint now) const;

    /// Whether a follower without a leader may renew leases of agents at `now`.
    [[nodiscard]] bool may_renew(core::TimePoint now) const;

    /// Stop commands, without grace, for the heartbeat's tasks of cancelled jobs that still run.
    [[nodiscard]] std::vector<core::TaskCommand> stop_commands(const core::Heartbeat& heartbeat,
                                                               core::TimePoint now) const;

  private:
    using Jobs = std::map<std::string, core::TimePoint>;  // job -> when it is forgotten

    static bool contains(const Jobs& jobs, const std::string& job, core::TimePoint now);
    [[nodiscard]] bool covers_deadline(core::Seconds memory) const {
        return memory >= needed_memory_;
    }

    const core::Seconds bound_;
    const core::Seconds retention_;
    const core::Seconds needed_memory_;  // what was cancelled before must have ended by now
    const std::size_t controllers_;
    std::optional<core::TimePoint> began_;
    std::optional<core::TimePoint> complete_until_;  // all that was confirmed up to then is known
    std::map<std::string, core::TimePoint> follower_asked_at_;  // with enough memory, by peer
    Jobs from_leaders_;
    // Not passed on: followers would return a job to each other and never forget it.
    Jobs from_followers_;
};

}  // namespace bendspindle::leadership
