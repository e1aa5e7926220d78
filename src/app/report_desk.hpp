// Reports of workers: handled by the leader with its records in memory, sent to the leader or
// handed on to it by a follower, and answered for a bounded time by one that only remembers what is
// cancelled: a follower with the leader out of reach, or a leader before its records are loaded.
// Calls to peers and the time are passed in.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "app/cancellation_replication.hpp"
#include "app/clock.hpp"
#include "app/office.hpp"
#include "app/peers.hpp"
#include "app/reply.hpp"
#include "app/role.hpp"
#include "app/visits.hpp"

namespace bendspindle::app {

enum class RequestOrigin : std::uint8_t { client, peer };

class HeartbeatHandler {
  public:
    // All of these outlive it.
    HeartbeatHandler(const core::AgentTimings& workers, LeaderState& leader_state,
                     Leadership& leadership, Peers& peers, CancellationReplication& replication,
                     ClockFunction clock = steady_clock());

    Response heartbeat(const std::string& body, RequestOrigin from);
    // This controller has become the leader.
    void on_elected();
    // Whether workers have lately reached peers only. Once true, it begins to watch anew.
    bool unreached();

  private:
    Response at_leader(const core::Heartbeat& heartbeat, std::uint64_t term);
    Response at_follower(const core::Heartbeat& heartbeat, const std::string& body,
                         const LeadershipStatus& status);
    // Without the leader at hand: for a bounded time the worker may go on.
    Response renew_without_leader(const core::Heartbeat& heartbeat, std::uint64_t term);

    LeaderState& leader_state_;
    Leadership& leadership_;
    Peers& peers_;
    CancellationReplication& replication_;
    const ClockFunction clock_;
    std::mutex mutex_;
    HeartbeatRouting routing_;
    LeaderReachability reachability_;
};

}  // namespace bendspindle::app
