#include "agents/heartbeat_routing.hpp"

#include <algorithm>

namespace bendspindle::agents {

namespace {

using core::Seconds;

// A worker back within this time has not reached the controller it was sent to.
constexpr Seconds memory{15};
// After this long its reports are no longer handed on; it is sent there again.
constexpr Seconds sent_again{40};
// Reports that are handed on before a worker that knows who acts is sent there.
constexpr double reports_handed_on = 2.5;
constexpr std::size_t most_remembered = 4000;
// So long, in reports, without a worker of its own, and so many through peers.
constexpr double reports_without_direct = 2;
constexpr Seconds least_without_direct{3};
constexpr std::size_t least_by_siblings = 3;

}  // namespace

// Guard against leases that run out on the way: all workers of a controller that was cut off from
// them were sent back to it, waited 4 s for an answer, and lost their tasks.
bool HeartbeatRouting::send_there(const std::string& worker, bool knows_leader,
                                  core::TimePoint now) {
    if (routing_.size() > most_remembered) routing_.clear();
    auto& visit = routing_[worker];
    if (visit.last == core::TimePoint{} || core::between(visit.last, now) > memory)
        visit = {now, now, std::nullopt};
    visit.last = now;
    if (visit.sent && core::between(*visit.sent, now) < sent_again) return false;
    if (!visit.sent && knows_leader &&
        core::between(visit.since, now) < report_ * reports_handed_on)
        return false;
    visit.sent = now;
    return true;
}

void LeaderReachability::begin(core::TimePoint now) {
    direct_ = false;
    last_direct_ = now;
    via_peer_.clear();
}

void LeaderReachability::record_heartbeat(const std::string& worker, bool via_peer,
                                          core::TimePoint now) {
    if (via_peer) {
        if (via_peer_.size() < least_by_siblings) via_peer_.insert(worker);
        return;
    }
    direct_ = true;
    last_direct_ = now;
    via_peer_.clear();
}

bool LeaderReachability::lost(core::TimePoint now) const {
    const auto patience = std::max(report_ * reports_without_direct, least_without_direct);
    return direct_ && via_peer_.size() >= least_by_siblings &&
           core::between(last_direct_, now) > patience;
}

}  // namespace bendspindle::agents
