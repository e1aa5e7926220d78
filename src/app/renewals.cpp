#include "app/renewals.hpp"

#include <algorithm>
#include <functional>

namespace bendspindle::app {

namespace {

using core::Seconds;
using core::TimePoint;

// For drift of clocks and the way of the confirmation to its user.
constexpr Seconds margin{2};
// Where a cancellation has hardly longer than a lease the bound helps little, and a controller must
// not turn its workers away between two words of its siblings.
constexpr Seconds least_bound{4};

}  // namespace

Seconds renewal_bound(const core::WorkerTimes& workers) {
    return std::max(workers.cancel - workers.lease - margin, least_bound);
}

void RoleProof::begin() {
    vouchers_.clear();
    acknowledged_.clear();
}

void RoleProof::vouched(const std::string& sibling, TimePoint asked) {
    auto& last = vouchers_[sibling];
    last = std::max(last, asked);
}

// Any majority that would vouch for a former controller, itself among it, has a member that
// acknowledged this one's epoch.
bool RoleProof::known_to_enough() const {
    return acknowledged_.size() + 1 >= controllers_ - controllers_ / 2;
}

TimePoint RoleProof::sole_until(TimePoint lease_end, TimePoint now) const {
    const auto by_lease = std::min(lease_end, now);
    const auto needed = controllers_ / 2;  // with this one a majority
    if (needed == 0) return now;
    std::vector<TimePoint> times;
    for (const auto& [name, asked] : vouchers_) times.push_back(asked);
    if (times.size() < needed) return by_lease;
    std::sort(times.begin(), times.end(), std::greater<>());
    return std::max(by_lease, times[needed - 1]);
}

bool RoleProof::may_renew(TimePoint lease_end, TimePoint now) const {
    return core::between(sole_until(lease_end, now), now) <= bound_;
}

void LastWord::told(const wire::peer::Word& word, TimePoint asked) {
    std::erase_if(cancelled_, [&](const auto& entry) { return entry.second <= asked; });
    for (const auto& job : word.cancelled) cancelled_[job] = core::later(asked, memory_);
    if (!word.complete) return;
    const auto until = core::later(asked, -Seconds(word.age));
    complete_until_ = complete_until_ ? std::max(*complete_until_, until) : until;
}

bool LastWord::may_renew(TimePoint now) const {
    return complete_until_ && core::between(*complete_until_, now) <= bound_;
}

std::vector<core::Order> LastWord::stops(const core::Report& report, TimePoint now) const {
    std::vector<core::Order> out;
    for (const auto& task : report.tasks) {
        const auto found = cancelled_.find(task.job);
        if (task.state == core::TaskState::exited || found == cancelled_.end() ||
            found->second <= now)
            continue;
        out.push_back({core::Order::Verb::stop, task.job, task.index, task.attempt, Seconds{0}});
    }
    return out;
}

}  // namespace bendspindle::app
