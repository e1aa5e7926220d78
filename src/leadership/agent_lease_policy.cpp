#include "leadership/agent_lease_policy.hpp"

#include <algorithm>
#include <functional>

namespace bendspindle::leadership {

namespace {

using core::Seconds;
using core::TimePoint;

// For drift of clocks and the way of the confirmation to its user.
constexpr Seconds margin{2};
// Where a cancellation has hardly longer than a lease the bound helps little, and a controller must
// not turn its workers away between two words of its peers.
constexpr Seconds least_bound{4};

// The newest time that so many have reached.
std::optional<TimePoint> reached_by(const std::map<std::string, TimePoint>& times,
                                    std::size_t number) {
    std::vector<TimePoint> sorted;
    sorted.reserve(times.size());
    for (const auto& [name, time] : times) sorted.push_back(time);
    if (number == 0 || sorted.size() < number) return std::nullopt;
    std::sort(sorted.begin(), sorted.end(), std::greater<>());
    return sorted[number - 1];
}

}  // namespace

Seconds renewal_bound(const core::AgentTimings& workers) {
    return std::max(workers.cancel - workers.lease - margin, least_bound);
}

void LeadershipProof::begin(TimePoint now) {
    began_ = now;
    vouchers_.clear();
    acknowledged_.clear();
    words_.clear();
}

void LeadershipProof::vouched(const std::string& peer, TimePoint asked) {
    auto& last = vouchers_[peer];
    last = std::max(last, asked);
}

bool LeadershipProof::known_to_enough() const {
    return acknowledged_.size() >= peers_in_every_majority(controllers_);
}

bool LeadershipProof::may_confirm(const std::set<std::string>& told,
                                  const std::set<std::string>& peers, TimePoint now) const {
    if (told.size() >= peers_in_every_majority(controllers_)) return true;
    return std::all_of(peers.begin(), peers.end(), [&](const auto& name) {
        if (told.contains(name)) return true;
        const auto word = words_.find(name);
        const auto last = word == words_.end() ? began_ : std::max(began_, word->second);
        return core::between(last, now) > bound_ + margin;
    });
}

TimePoint LeadershipProof::sole_until(TimePoint lease_end, TimePoint now) const {
    const auto needed = peers_of_a_majority(controllers_);
    if (needed == 0) return now;
    const auto by_lease = std::min(lease_end, now);
    const auto vouched = reached_by(vouchers_, needed);
    return vouched ? std::max(by_lease, *vouched) : by_lease;
}

bool LeadershipProof::may_renew(TimePoint lease_end, TimePoint now) const {
    return core::between(sole_until(lease_end, now), now) <= bound_;
}

void CancellationReplica::begin(TimePoint now) {
    if (!began_) began_ = now;
}

void CancellationReplica::cancelled(const std::string& job, TimePoint now) {
    const auto old = [&](const auto& entry) { return entry.second <= now; };
    std::erase_if(told_, old);
    std::erase_if(gathered_, old);
    told_[job] = core::later(now, memory_);
}

void CancellationReplica::told(const wire::peer::CancellationSnapshot& word, TimePoint asked) {
    for (const auto& job : word.cancelled)
        if (!told_.contains(job)) cancelled(job, asked);
    if (!word.complete) return;
    const auto until = core::later(asked, -Seconds(word.age));
    complete_until_ = complete_until_ ? std::max(*complete_until_, until) : until;
}

// Each confirmed cancellation is known to a member of any majority, for as long as it matters. What
// has not remembered for so long does not count.
void CancellationReplica::answered(const std::string& peer,
                                   const wire::peer::CancellationSnapshot& word, TimePoint asked) {
    std::erase_if(gathered_, [&](const auto& entry) { return entry.second <= asked; });
    for (const auto& job : word.cancelled) gathered_.try_emplace(job, core::later(asked, memory_));
    if (!word.complete || !remembers_enough(word.memory)) return;
    auto& last = answers_[peer];
    last = std::max(last, asked);
    if (!began_ || !remembers_enough(core::between(*began_, asked))) return;
    const auto until = reached_by(answers_, peers_of_a_majority(controllers_));
    if (until && (!complete_until_ || *until > *complete_until_)) complete_until_ = until;
}

wire::peer::CancellationSnapshot CancellationReplica::word(TimePoint now) const {
    wire::peer::CancellationSnapshot out;
    out.complete = true;
    if (began_) out.memory = std::chrono::floor<std::chrono::milliseconds>(now - *began_);
    for (const auto& [job, until] : told_)
        if (until > now) out.cancelled.push_back(job);
    return out;
}

bool CancellationReplica::may_renew(TimePoint now) const {
    return complete_until_ && core::between(*complete_until_, now) <= bound_;
}

std::vector<core::TaskCommand> CancellationReplica::stops(const core::Heartbeat& heartbeat,
                                                          TimePoint now) const {
    const auto in = [&](const Jobs& jobs, const std::string& job) {
        const auto found = jobs.find(job);
        return found != jobs.end() && found->second > now;
    };
    std::vector<core::TaskCommand> out;
    for (const auto& task : heartbeat.tasks)
        if (task.state != core::TaskState::exited &&
            (in(told_, task.job) || in(gathered_, task.job)))
            out.push_back(
                {core::TaskCommand::Verb::stop, task.job, task.index, task.attempt, Seconds{0}});
    return out;
}

}  // namespace bendspindle::leadership
