/// Handler of agents' heartbeats. The leader processes a heartbeat with its records in memory. A
/// follower redirects the agent or forwards the heartbeat to the leader. A controller that knows
/// only the cancelled jobs (a follower that cannot reach the leader, or a leader whose records are
/// not loaded yet) renews the agent's lease for a bounded time.
///
/// The request threads call it. Invariant ran_cancelled: a lease is renewed only when the
/// `leadership` module permits it. The peer client and the clock are injected.
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

/// Request handler for heartbeats. Thread-safe.
class HeartbeatHandler {
  public:
    /// All objects passed by reference must outlive this one.
    HeartbeatHandler(const core::AgentTimings& timings, state::LeaderState& leader_state,
                     leadership::Leadership& leadership, leadership::Peers& peers,
                     leadership::CancellationReplication& replication,
                     io::ClockFunction clock = io::steady_clock());

    /// Returns the response to an encoded heartbeat. Blocks while the heartbeat is forwarded to the
    /// leader.
    wire::Response handle(const std::string& body, RequestOrigin origin);
    /// Resets the reachability check when this controller becomes the leader.
    void on_elected();
    /// Returns whether agents currently reach only the leader's peers and no longer the leader
    /// itself. Resets the reachability check when it returns true.
    [[nodiscard]] bool detect_inbound_unreachable();

  private:
    wire::Response handle_as_leader(const core::Heartbeat& heartbeat, std::uint64_t term);
    wire::Response handle_as_follower(const core::Heartbeat& heartbeat, const std::string& body,
                                      const leadership::LeadershipStatus& status);
    // Renews the agent's lease for a bounded time without the leader's records.
    wire::Response renew_without_leader(const core::Heartbeat& heartbeat, std::uint64_t term);

    state::LeaderState& leader_state_;
    leadership::Leadership& leadership_;
    leadership::Peers& peers_;
    leadership::CancellationReplication& replication_;
    const io::ClockFunction clock_;
    // Guards `routing_` and `reachability_`. Never held during a call to a peer or together with
    // another lock.
    std::mutex mutex_;
    HeartbeatRouting routing_;
    LeaderReachability reachability_;
};

}  // namespace bendspindle::agents
