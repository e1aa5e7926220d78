// Workers and the way to the acting controller. Pure: the time is passed in.
//
//  - `HeartbeatRouting`, at a controller that does not act: whether a worker that reports here is
//  sent to the
//    one that does, or its report is handed on.
//  - `LeaderReachability`, at the one that acts: whether workers reach it themselves, or only their
//  peers.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/model/types.hpp"

namespace bendspindle::agents {

class HeartbeatRouting {
  public:
    explicit HeartbeatRouting(core::Seconds heartbeat) : report_(heartbeat) {}
    // `knows_leader`: it shows the present token, so it has been in touch with who acts and comes
    // here all the same.
    bool send_there(const std::string& worker, bool knows_leader, core::TimePoint now);

  private:
    struct Visit {
        core::TimePoint since{};
        core::TimePoint last{};
        std::optional<core::TimePoint> sent;
    };
    const core::Seconds report_;
    std::unordered_map<std::string, Visit> routing_;
};

class LeaderReachability {
  public:
    explicit LeaderReachability(core::Seconds heartbeat) : report_(heartbeat) {}
    void begin(core::TimePoint now);
    void record_heartbeat(const std::string& worker, bool via_peer, core::TimePoint now);
    // Workers reached it before, and now they reach peers only: another would serve them better.
    bool lost(core::TimePoint now) const;

  private:
    const core::Seconds report_;
    bool direct_ = false;  // any came by itself since it acts
    core::TimePoint last_direct_{};
    std::set<std::string> via_peer_;  // since the last that came by itself
};

}  // namespace bendspindle::agents
