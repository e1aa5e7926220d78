#include "leadership/agent_lease_policy.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace bendspindle::leadership {

namespace {

using core::Seconds;
using core::TimePoint;

// Lower limit for settings whose cancellation deadline is hardly longer than a lease: a controller
// must not refuse renewals to its agents between two exchanges with its peers, even though the
// bound then protects the deadline only in part.
constexpr Seconds min_renewal_bound{4};

}  // namespace

Seconds renewal_bound(const core::AgentTimings& timings) {
    return std::max(timings.cancel - timings.lease - confirmation_margin, min_renewal_bound);
}

std::optional<TimePoint> latest_time_reached_by(
    const std::map<std::string, TimePoint>& time_by_peer, std::size_t count) {
    std::vector<TimePoint> sorted;
    sorted.reserve(time_by_peer.size());
    for (const auto& [peer, time] : time_by_peer) sorted.push_back(time);
    if (count == 0 || sorted.size() < count) return std::nullopt;
    std::sort(sorted.begin(), sorted.end(), std::greater<>());
    return sorted[count - 1];
}

}  // namespace bendspindle::leadership
