/// Rules for renewing agents' leases: how long a controller may renew them after it last knew every
/// confirmed cancellation, and how many peers form a majority.
///
/// A confirmed cancellation starts a deadline that no outage suspends. An agent whose lease expires
/// stops its tasks, `lease_s` after the last renewal, no matter which controllers are alive. A
/// lease is therefore renewed only by a controller that knows all confirmed cancellations and sends
/// the stop commands in the same response, or by one that knew them at most `renewal_bound` ago
/// (docs/failure-modes.md, "What a confirmed cancellation needs"). Invariant: ran_cancelled.
///
/// `LeadershipProof` (leadership_proof.hpp) applies these rules on the leader,
/// `CancellationReplica` (cancellation_replica.hpp) on a follower. All functions here are pure and
/// thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/model/types.hpp"

namespace bendspindle::leadership {

/// Allowance for clock drift and for the time that a confirmation takes to reach its user.
inline constexpr core::Seconds confirmation_margin{2};

/// Returns how long a controller may renew leases after it last knew all confirmed cancellations.
core::Seconds renewal_bound(const core::AgentTimings& timings);

/// Returns how many peers form a majority together with this controller. `controller_count`
/// includes this controller.
inline std::size_t peers_for_majority(std::size_t controller_count) {
    return controller_count / 2;
}

/// Returns how many peers, besides the leader, must know a fact so that every majority formed
/// without the leader has a member that knows it. `controller_count` includes the leader.
inline std::size_t peers_to_intersect_majorities(std::size_t controller_count) {
    return controller_count - controller_count / 2 - 1;
}

/// Returns the latest time that at least `count` of the peers have reached, or nothing if there are
/// fewer peers than `count` or `count` is zero.
std::optional<core::TimePoint> latest_time_reached_by(
    const std::map<std::string, core::TimePoint>& time_by_peer, std::size_t count);

}  // namespace bendspindle::leadership
