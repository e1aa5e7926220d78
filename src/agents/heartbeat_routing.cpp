#include "agents/heartbeat_routing.hpp"

#include <algorithm>

namespace bendspindle::agents {

namespace {

using core::Seconds;

// An agent back within this time has not reached the leader that it was redirected to.
constexpr Seconds contact_memory{15};
// After this long its heartbeats are no longer forwarded; it is redirected again.
constexpr Seconds redirect_again_after{40};
// Heartbeats that are forwarded before an agent that knows the leader is redirected.
constexpr double forwarded_heartbeats = 2.5;
constexpr std::size_t max_contacts = 4000;
// The leader is unreachable after so many heartbeat intervals, and at least so long, without an
// agent that comes by itself, and with so many agents that come through peers.
constexpr double intervals_without_direct = 2;
constexpr Seconds min_without_direct{3};
constexpr std::size_t min_agents_via_peer = 3;

}  // namespace

// Leases must not expire on the way: all agents of a controller that was cut off from them were
// redirected to it, waited 4 s for an answer, and lost their tasks
// (HeartbeatRouting.AnAgentThatKnowsTheLeaderIsForwardedFirstAndRedirectedOnce).
bool HeartbeatRouting::should_redirect(const std::string& agent, bool knows_leader,
                                       core::TimePoint now) {
    if (contacts_.size() > max_contacts) contacts_.clear();
    const auto [entry, is_new] = contacts_.try_emplace(agent);
    auto& contact = entry->second;
    if (is_new || core::between(contact.last, now) > contact_memory)
        contact = {now, now, std::nullopt};
    contact.last = now;
    if (contact.redirected_at && core::between(*contact.redirected_at, now) < redirect_again_after)
        return false;
    if (!contact.redirected_at && knows_leader &&
        core::between(contact.first, now) < heartbeat_interval_ * forwarded_heartbeats)
        return false;
    contact.redirected_at = now;
    return true;
}

void LeaderReachability::begin(core::TimePoint now) {
    any_direct_ = false;
    last_direct_ = now;
    via_peer_.clear();
}

void LeaderReachability::record_heartbeat(const std::string& agent, RequestOrigin origin,
                                          core::TimePoint now) {
    if (origin == RequestOrigin::peer) {
        if (via_peer_.size() < min_agents_via_peer) via_peer_.insert(agent);
        return;
    }
    any_direct_ = true;
    last_direct_ = now;
    via_peer_.clear();
}

bool LeaderReachability::inbound_unreachable(core::TimePoint now) const {
    const auto tolerated =
        std::max(heartbeat_interval_ * intervals_without_direct, min_without_direct);
    return any_direct_ && via_peer_.size() >= min_agents_via_peer &&
           core::between(last_direct_, now) > tolerated;
}

}  // namespace bendspindle::agents
