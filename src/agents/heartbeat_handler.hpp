// Reports of workers: handled by the leader with its records in memory, sent to the leader or
// handed on to it by a follower, and answered for a bounded time by one that only remembers what is
// cancelled: a follower with the leader out of reach, or a leader before its records are loaded.
// Calls to peers and the time are passed in.
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

enum class RequestOrigin : std::uint8_t { client, peer };

class HeartbeatHandler {
  public:
    // All of these outlive it.
    HeartbeatHandler(const core::AgentTimings& workers, state::LeaderState& leader_state,
                     leadership::Leadership& leadership, leadership::Peers& peers,
                     leadership::CancellationReplication& replication,
                     io::ClockFunction clock = io::steady_clock());

    wire::Response heartbeat(const std::string& body, RequestOrigin from);
    // This controller has become the leader.
    void on_elected();
    // Whether workers have lately reached peers only. Once true, it begins to watch anew.
    bool unreached();

  private:
    wire::Response at_leader(const core::Heartbeat& heartbeat, std::uint64_t term);
    wire::Response at_follower(const core::Heartbeat& heartbeat, const std::string& body,
                               const leadership::LeadershipStatus& status);
    // Without the leader at hand: for a bounded time the worker may go on.
    wire::Response renew_without_leader(const core::Heartbeat& heartbeat, std::uint64_t term);

    state::LeaderState& leader_state_;
    leadership::Leadership& leadership_;
    leadership::Peers& peers_;
    leadership::CancellationReplication& replication_;
    const io::ClockFunction clock_;
    std::mutex mutex_;
    HeartbeatRouting routing_;
    LeaderReachability reachability_;
};

}  // namespace bendspindle::agents
