/// Routing of agents' heartbeats to the leader. These classes do no I/O and take the time as a
/// parameter. `HeartbeatHandler` owns them and guards them with its mutex.
///
///  - `HeartbeatRouting`, on a follower, decides whether an agent that sends its heartbeat here is
///    redirected to the leader or its heartbeat is forwarded.
///  - `LeaderReachability`, on the leader, detects that agents reach only the leader's peers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/model/types.hpp"

namespace bendspindle::agents {

/// Sender of a request to this controller: a user or agent directly, or a peer that forwards it.
enum class RequestOrigin : std::uint8_t { client, peer };

/// Follower's choice between redirecting an agent and forwarding its heartbeat. Not thread-safe.
class HeartbeatRouting {
  public:
    /// `heartbeat`: the interval of agents' heartbeats.
    explicit HeartbeatRouting(core::Seconds heartbeat) : heartbeat_interval_(heartbeat) {}

    /// Returns whether to redirect the agent to the leader; otherwise its heartbeat is to be
    /// forwarded. `has_current_token`: the heartbeat carries the current fencing token, so the
    /// agent has been in contact with the leader and still sends its heartbeats here.
    [[nodiscard]] bool should_redirect(const std::string& agent, bool has_current_token,
                                       core::TimePoint now);

  private:
    // Series of an agent's heartbeats at this follower without a gap that would make it new.
    struct Contact {
        core::TimePoint first{};
        core::TimePoint last{};
        std::optional<core::TimePoint> redirected_at;
    };

    const core::Seconds heartbeat_interval_;
    std::unordered_map<std::string, Contact> contacts_;
};

/// Leader's check that agents can reach it. Not thread-safe.
class LeaderReachability {
  public:
    /// `heartbeat`: the interval of agents' heartbeats.
    explicit LeaderReachability(core::Seconds heartbeat) : heartbeat_interval_(heartbeat) {}

    /// Restarts the check at `now`, as for a leader that no agent has reached yet.
    void reset(core::TimePoint now);
    /// Records a heartbeat that reached the leader directly or was forwarded by a peer.
    void record_heartbeat(const std::string& agent, RequestOrigin origin, core::TimePoint now);
    /// Returns whether agents reached the leader directly before and now reach only its peers, so
    /// that another controller would be a better leader.
    [[nodiscard]] bool inbound_unreachable(core::TimePoint now) const;

  private:
    const core::Seconds heartbeat_interval_;
    bool direct_heartbeat_received_ = false;  // since `reset`
    core::TimePoint last_direct_heartbeat_at_{};
    std::set<std::string> agents_via_peer_;  // since the last direct heartbeat; bounded
};

}  // namespace bendspindle::agents
