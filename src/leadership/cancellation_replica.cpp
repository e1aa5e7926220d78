#include "leadership/cancellation_replica.hpp"

#include <algorithm>
#include <chrono>

#include "core/reconciliation/command_planner.hpp"

namespace bendspindle::leadership {

using core::Seconds;
using core::TimePoint;

void CancellationReplica::start_recording(TimePoint now) {
    if (!recording_since_) recording_since_ = now;
}

void CancellationReplica::record_cancellation(const std::string& job, TimePoint now) {
    const auto expired = [&](const auto& entry) { return entry.second <= now; };
    std::erase_if(jobs_from_leaders_, expired);
    std::erase_if(jobs_from_followers_, expired);
    jobs_from_leaders_[job] = core::later(now, retention_);
}

void CancellationReplica::apply_leader_snapshot(const wire::peer::CancellationSnapshot& snapshot,
                                                TimePoint requested_at) {
    for (const auto& job : snapshot.cancelled)
        if (!jobs_from_leaders_.contains(job)) record_cancellation(job, requested_at);
    if (!snapshot.complete) return;
    const auto until = core::later(requested_at, -Seconds(snapshot.age));
    complete_until_ = complete_until_ ? std::max(*complete_until_, until) : until;
}

void CancellationReplica::apply_follower_snapshot(const std::string& peer,
                                                  const wire::peer::CancellationSnapshot& snapshot,
                                                  TimePoint requested_at) {
    std::erase_if(jobs_from_followers_,
                  [&](const auto& entry) { return entry.second <= requested_at; });
    for (const auto& job : snapshot.cancelled)
        jobs_from_followers_.try_emplace(job, core::later(requested_at, retention_));
    if (!snapshot.complete || !covers_deadline(snapshot.history)) return;
    auto& last = follower_requested_at_[peer];
    last = std::max(last, requested_at);
    if (!recording_since_ || !covers_deadline(core::between(*recording_since_, requested_at)))
        return;
    const auto until =
        latest_time_reached_by(follower_requested_at_, peers_for_majority(controller_count_));
    if (until && (!complete_until_ || *until > *complete_until_)) complete_until_ = until;
}

wire::peer::CancellationSnapshot CancellationReplica::snapshot(TimePoint now) const {
    wire::peer::CancellationSnapshot out;
    out.complete = true;
    if (recording_since_)
        out.history = std::chrono::floor<std::chrono::milliseconds>(now - *recording_since_);
    for (const auto& [job, until] : jobs_from_leaders_)
        if (until > now) out.cancelled.push_back(job);
    return out;
}

bool CancellationReplica::may_renew(TimePoint now) const {
    return complete_until_ && core::between(*complete_until_, now) <= renewal_bound_;
}

bool CancellationReplica::contains(const ExpiryByJob& jobs, const std::string& job, TimePoint now) {
    const auto found = jobs.find(job);
    return found != jobs.end() && found->second > now;
}

std::vector<core::TaskCommand> CancellationReplica::stop_commands(const core::Heartbeat& heartbeat,
                                                                  TimePoint now) const {
    core::CommandBatch commands;
    for (const auto& task : heartbeat.tasks)
        if (task.state != core::TaskState::exited &&
            (contains(jobs_from_leaders_, task.job, now) ||
             contains(jobs_from_followers_, task.job, now)))
            commands.add(command_for(core::TaskCommand::Verb::stop, task));
    return commands.take();
}

}  // namespace bendspindle::leadership
