/// Heartbeats of agents: handled by the leader with its records in memory; redirected or forwarded
/// to the leader by a follower; and answered for a bounded time by a controller that only knows the
/// cancelled jobs: a follower that cannot reach the leader, or a leader before its records are
/// loaded.
///
/// Called by the request threads. What must hold: a lease is renewed only as `leadership` allows,
/// by the rule ran_cancelled. Calls to peers and the time are passed in.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "agents/heartbeat_routing.hpp"
#include "io/clock.hpp"
#include "leadership/cancellation_replication.hpp"
#include "leadership/leadership.hpp"
#include "leadership/peers.hpp"
#include "state/leader_state.hpp"
#include "wire/response.hpp"

namespace bendspindle::agents {

/// Safe from any thread.
class HeartbeatHandler {
  public:
    /// All of these outlive it.
    HeartbeatHandler(const core::AgentTimings& timings, state::LeaderState& leader_state,
                     leadership::Leadership& leadership, leadership::Peers& peers,
                     leadership::CancellationReplication& replication,
                     io::ClockFunction clock = io::steady_clock());

    /// The response to a heartbeat as it came over the wire. Blocks while it is forwarded.
    wire::Response heartbeat(const std::string& body, RequestOrigin origin);
    /// This controller has become the leader.
    void on_elected();
    /// Whether agents lately reach the leader's peers only, and no longer itself. Once true, it
    /// begins to watch anew.
    [[nodiscard]] bool detect_inbound_unreachable();

  private:
    wire::Response at_leader(const core::Heartbeat& heartbeat, std::uint64_t term);
    wire::Response at_follower(const core::Heartbeat& heartbeat, const std::string& body,
                               const leadership::LeadershipStatus& status);
    // For a bounded time the agent may go on.
    wire::Response renew_without_leader(const core::Heartbeat& heartbeat, std::uint64_t term);

    state::LeaderState& leader_state_;
    leadership::Leadership& leadership_;
    leadership::Peers& peers_;
    leadership::CancellationReplication& replication_;
    const io::ClockFunction clock_;
    // Guards `routing_` and `reachability_`; held across no call and not together with another
    // lock.
    std::mutex mutex_;
    HeartbeatRouting routing_;
    LeaderReachability reachability_;
};

}  // namespace bendspindle::agents
