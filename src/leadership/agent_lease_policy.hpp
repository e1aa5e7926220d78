/// How long a controller may renew the leases of agents after it last knew every confirmed
/// cancellation, and how many peers make a majority.
///
/// A confirmed cancellation starts a deadline that no outage suspends. Whichever controllers are
/// alive, an agent whose lease expires stops its tasks, `lease_s` after the lease was last renewed.
/// So only a controller that knows all confirmed cancellations, and orders the stops in the same
/// response, renews a lease; or one that knew them at most `renewal_bound` ago
/// (docs/failure-modes.md, "What a confirmed cancellation needs"). Rule kept: ran_cancelled.
///
/// `LeadershipProof` (leadership_proof.hpp) applies this at the leader, `CancellationReplica`
/// (cancellation_replica.hpp) at a follower. Everything here is pure and safe from any thread.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/model/types.hpp"

namespace bendspindle::leadership {

/// Allowed for drift between clocks and for the confirmation's way to its user.
inline constexpr core::Seconds confirmation_margin{2};

/// For how long after it last knew all confirmed cancellations a controller may renew leases.
core::Seconds renewal_bound(const core::AgentTimings& timings);

/// How many peers make a majority together with this controller, of so many controllers in all
/// (this one included).
inline std::size_t peers_of_a_majority(std::size_t controllers) {
    return controllers / 2;
}

/// How many peers must know a fact, besides the leader, so that any majority formed without the
/// leader has a member that knows it.
inline std::size_t peers_in_every_majority(std::size_t controllers) {
    return controllers - controllers / 2 - 1;
}

/// The latest time that at least `count` of the peers have reached; none if there are fewer peers,
/// or for a count of zero.
std::optional<core::TimePoint> latest_reached_by(
    const std::map<std::string, core::TimePoint>& time_by_peer, std::size_t count);

}  // namespace bendspindle::leadership
