#include "task_oracle.hpp"

namespace bendspindle::scale {

Job* TaskOracle::job(const std::string& id) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

Job& TaskOracle::add(core::JobSpec spec, Seconds run, TimePoint now) {
    const auto id = spec.id;
    auto& job = jobs_[id];
    job.begun.resize(spec.tasks);
    job.done.resize(spec.tasks);
    job.spec = std::move(spec);
    job.run = run;
    job.submitted = now;
    return job;
}

void TaskOracle::begins(Job& job, std::uint32_t task, TimePoint now) {
    if (job.begun[task]) return;
    job.begun[task] = true;
    if (++job.begun_count == job.spec.tasks && job.spec.priority == core::Priority::high)
        urgent_waits_.push_back(core::between(job.submitted, now).count());
}

void TaskOracle::enters(const std::string& id, std::uint32_t task, GangMember* at, TimePoint now) {
    auto& job = jobs_.at(id);
    auto& holders = on_[{id, task}];
    if (!holders.empty()) ++counts_.ran_twice;
    holders.insert(at);
    auto& team = teams_[job.spec.team];
    team.used += job.spec.need;
    if (over(team.used.cpus, team.limit.cpus) || over(team.used.gpus, team.limit.gpus))
        ++counts_.quota;
    if (job.cancelled && core::later(*job.cancelled, cancel_) < now) ++counts_.ran_cancelled;
    ++counts_.starts;
    ++counts_.checks;
    ++running_;
    begins(job, task, now);
}

void TaskOracle::leaves(const std::string& id, std::uint32_t task, GangMember* at) {
    const auto it = on_.find({id, task});
    if (it == on_.end()) return;
    const auto holder = it->second.find(at);
    if (holder == it->second.end()) return;
    it->second.erase(holder);
    if (it->second.empty()) on_.erase(it);
    const auto& spec = jobs_.at(id).spec;
    teams_[spec.team].used -= spec.need;
    --running_;
}

void TaskOracle::finished(const std::string& id, std::uint32_t task) {
    auto& job = jobs_.at(id);
    if (job.done[task]) return;
    job.done[task] = true;
    ++job.done_count;
    ++counts_.done;
}

void TaskOracle::check(TimePoint now) {
    ++counts_.checks;
    for (const auto& [key, holders] : on_) {
        const auto& job = jobs_.at(key.first);
        if (job.cancelled && core::later(*job.cancelled, cancel_) < now)
            counts_.ran_cancelled += holders.size();
    }
}

void TaskOracle::gang_waits(const std::string& id, std::uint64_t attempt, std::uint32_t task,
                            GangMember* at, TimePoint now) {
    auto& gang = gangs_[{id, attempt}];
    gang.members[task] = at;
    if (gang.members.size() < jobs_.at(id).spec.tasks) return;
    gang.running = true;
    // A machine that holds several of them is notified once for each; it takes the first as for
    // all.
    const auto members = gang.members;
    for (const auto& [index, member] : members) member->gang_runs(id, attempt, now);
}

std::vector<GangMember*> TaskOracle::take_members(const GangKey& key) {
    std::vector<GangMember*> out;
    const auto it = gangs_.find(key);
    if (it == gangs_.end()) return out;
    std::set<GangMember*> notified;
    for (const auto& [index, member] : it->second.members)
        if (notified.insert(member).second) out.push_back(member);
    gangs_.erase(it);
    return out;
}

void TaskOracle::gang_lost(const std::string& id, std::uint64_t attempt, std::uint32_t task,
                           TimePoint now) {
    const auto it = gangs_.find({id, attempt});
    if (it == gangs_.end()) return;
    it->second.members.erase(task);
    const auto key = it->first;
    if (it->second.running)
        for (auto* member : take_members(key)) member->gang_broken(id, attempt, now);
    else if (it->second.members.empty())
        gangs_.erase(it);
}

void TaskOracle::gang_ends(const std::string& id, std::uint64_t attempt, TimePoint now) {
    for (auto* member : take_members({id, attempt})) member->gang_done(id, attempt, now);
}

}  // namespace bendspindle::scale
