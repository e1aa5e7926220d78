#include "agents/heartbeat_routing.hpp"

#include <algorithm>

namespace bendspindle::agents {

namespace {

using core::Seconds;

// An agent that sends another heartbeat here within this time has not reached the leader to which
// it was redirected; after a longer gap it counts as new.
constexpr Seconds max_contact_gap{15};
// Forwarding stops and the agent is redirected again after this time.
constexpr Seconds redirect_interval{40};
// Heartbeat intervals for which heartbeats of an agent with the current fencing token are forwarded
// before it is redirected.
constexpr double forwarding_intervals = 2.5;
constexpr std::size_t max_contacts = 4000;
// The leader counts as unreachable once it has received no direct heartbeat for both of these
// times (in heartbeat intervals, and as an absolute minimum), while peers have forwarded the
// heartbeats of at least this many agents.
constexpr double min_intervals_without_direct = 2;
constexpr Seconds min_time_without_direct{3};
constexpr std::size_t min_agents_via_peer = 3;

}  // namespace

// Forwards before it redirects, so that leases do not expire during the attempt to reach the
// leader. When all agents of a controller that they could not reach were redirected to it at once,
// they waited 4 s for a response and lost their tasks
// (HeartbeatRouting.AnAgentThatKnowsTheLeaderIsForwardedFirstAndRedirectedOnce).
bool HeartbeatRouting::should_redirect(const std::string& agent, bool has_current_token,
                                       core::TimePoint now) {
    if (contacts_.size() > max_contacts) contacts_.clear();
    const auto [entry, is_new] = contacts_.try_emplace(agent);
    auto& contact = entry->second;
    if (is_new || core::between(contact.last, now) > max_contact_gap)
        contact = {now, now, std::nullopt};
    contact.last = now;
    if (contact.redirected_at && core::between(*contact.redirected_at, now) < redirect_interval)
        return false;
    if (!contact.redirected_at && has_current_token &&
        core::between(contact.first, now) < heartbeat_interval_ * forwarding_intervals)
        return false;
    contact.redirected_at = now;
    return true;
}

void LeaderReachability::reset(core::TimePoint now) {
    direct_heartbeat_received_ = false;
    last_direct_heartbeat_at_ = now;
    agents_via_peer_.clear();
}

void LeaderReachability::record_heartbeat(const std::string& agent, RequestOrigin origin,
                                          core::TimePoint now) {
    if (origin == RequestOrigin::peer) {
        if (agents_via_peer_.size() < min_agents_via_peer) agents_via_peer_.insert(agent);
        return;
    }
    direct_heartbeat_received_ = true;
    last_direct_heartbeat_at_ = now;
    agents_via_peer_.clear();
}

bool LeaderReachability::inbound_unreachable(core::TimePoint now) const {
    const auto min_silence =
        std::max(heartbeat_interval_ * min_intervals_without_direct, min_time_without_direct);
    return direct_heartbeat_received_ && agents_via_peer_.size() >= min_agents_via_peer &&
           core::between(last_direct_heartbeat_at_, now) > min_silence;
}

}  // namespace bendspindle::agents
