/// Agents and the way to the leader. Pure: the time is passed in. Owned and locked by
/// `HeartbeatHandler`.
///
///  - `HeartbeatRouting`, at a follower: whether an agent that sends its heartbeat here is
///    redirected to the leader, or its heartbeat is forwarded.
///  - `LeaderReachability`, at the leader: whether agents reach it themselves, or only its peers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/model/types.hpp"

namespace bendspindle::agents {

/// Who sent a request to this controller: a user or agent itself, or a peer that forwards it.
enum class RequestOrigin : std::uint8_t { client, peer };

/// Not thread-safe.
class HeartbeatRouting {
  public:
    /// `heartbeat`: the interval of agents' heartbeats.
    explicit HeartbeatRouting(core::Seconds heartbeat) : heartbeat_interval_(heartbeat) {}

    /// Whether the agent is to be redirected; else its heartbeat is to be forwarded.
    /// `knows_leader`: it shows the present fencing token, so it has been in touch with the leader
    /// and comes here all the same.
    [[nodiscard]] bool should_redirect(const std::string& agent, bool knows_leader,
                                       core::TimePoint now);

  private:
    // An agent's heartbeats at this follower, without a longer pause between them.
    struct Contact {
        core::TimePoint first{};
        core::TimePoint last{};
        std::optional<core::TimePoint> redirected_at;
    };

    const core::Seconds heartbeat_interval_;
    std::unordered_map<std::string, Contact> contacts_;
};

/// Not thread-safe.
class LeaderReachability {
  public:
    /// `heartbeat`: the interval of agents' heartbeats.
    explicit LeaderReachability(core::Seconds heartbeat) : heartbeat_interval_(heartbeat) {}

    /// From now on this controller watches anew, as a leader that no agent has reached yet.
    void begin(core::TimePoint now);
    /// An agent's heartbeat has reached the leader, by itself or forwarded by a peer.
    void record_heartbeat(const std::string& agent, RequestOrigin origin, core::TimePoint now);
    /// Agents reached the leader before, and now they reach only its peers: another leader would
    /// serve them better.
    [[nodiscard]] bool inbound_unreachable(core::TimePoint now) const;

  private:
    const core::Seconds heartbeat_interval_;
    bool any_direct_ = false;  // an agent has come by itself since `begin`
    core::TimePoint last_direct_{};
    std::set<std::string> via_peer_;  // since the last that came by itself; bounded
};

}  // namespace bendspindle::agents
