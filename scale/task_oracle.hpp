/// What a scale run knows for certain about its tasks: the jobs that users have submitted, which
/// task is on which machine, gangs, and the protocol's rules that show on the agents' side. Written
/// by the simulated agents and users, read by `measure`. No input or output; time is passed in.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/model/types.hpp"

namespace bendspindle::scale {

using core::Seconds;
using core::TimePoint;

/// A job as its user sees it.
struct Job {
    core::JobSpec spec;
    Seconds run{0};  // what a task of it really takes
    TimePoint submitted{};
    bool accepted = false;
    bool over = false;  // its user has seen a terminal state
    std::vector<bool> begun;
    std::vector<bool> done;
    std::uint32_t begun_count = 0;
    std::uint32_t done_count = 0;
    std::optional<TimePoint> cancelled;  // when its user got the confirmation
};

/// Who holds a gang's task, to be notified of what happens to the others.
class GangMember {
  public:
    virtual ~GangMember() = default;
    /// All tasks of the attempt have their image: they run from now on.
    virtual void gang_runs(const std::string& job, std::uint64_t attempt, TimePoint now) = 0;
    /// One of them is done, and so are all.
    virtual void gang_done(const std::string& job, std::uint64_t attempt, TimePoint now) = 0;
    /// A task of the running gang is gone.
    virtual void gang_broken(const std::string& job, std::uint64_t attempt, TimePoint now) = 0;
};

/// How often each rule was broken, and what is counted beside.
struct TaskOracleCounts {
    std::uint64_t ran_twice = 0;
    std::uint64_t quota = 0;
    std::uint64_t ran_cancelled = 0;
    std::uint64_t starts = 0;
    std::uint64_t done = 0;
    std::uint64_t checks = 0;  // steps at which the rules were looked at
};

/// Who runs what, and the rules checked at each change. A task is on its machine from the moment it
/// has its image until it is gone.
class TaskOracle {
  public:
    TaskOracle(const std::vector<core::Team>& teams, Seconds cancel) : cancel_(cancel) {
        for (const auto& team : teams) teams_[team.name].limit = team.limit;
    }

    /// Null: nobody has submitted it.
    Job* job(const std::string& id);
    Job& add(core::JobSpec spec, Seconds run, TimePoint now);
    const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }

    /// A task has its image and is on its machine. Rules are checked.
    void enters(const std::string& job, std::uint32_t task, GangMember* at, TimePoint now);
    /// It is gone from its machine.
    void leaves(const std::string& job, std::uint32_t task, GangMember* at);
    void finished(const std::string& job, std::uint32_t task);
    /// Looks for tasks that outlived their cancellation.
    void check(TimePoint now);

    /// A gang's task waits for the others; tells all members once the last one is there.
    void gang_waits(const std::string& job, std::uint64_t attempt, std::uint32_t task,
                    GangMember* at, TimePoint now);
    /// A gang's task is gone before the gang was done. The others are notified if it ran.
    void gang_lost(const std::string& job, std::uint64_t attempt, std::uint32_t task,
                   TimePoint now);
    /// A gang's first task is done.
    void gang_ends(const std::string& job, std::uint64_t attempt, TimePoint now);

    const TaskOracleCounts& counts() const { return counts_; }
    std::size_t running() const { return running_; }
    /// Seconds from submission until all tasks of an urgent job had begun once.
    std::vector<double> take_urgent_waits() { return std::exchange(urgent_waits_, {}); }

  private:
    struct TeamUse {
        core::Resources limit;
        core::Resources used;
    };
    struct Gang {
        std::map<std::uint32_t, GangMember*> members;
        bool running = false;
    };
    using GangKey = std::pair<std::string, std::uint64_t>;
    static bool over(double used, double limit) { return limit > 0 && used > limit + 1e-6; }
    void begins(Job& job, std::uint32_t task, TimePoint now);
    std::vector<GangMember*> take_members(const GangKey& key);

    Seconds cancel_;
    std::map<std::string, TeamUse> teams_;
    std::unordered_map<std::string, Job> jobs_;
    std::map<std::pair<std::string, std::uint32_t>, std::multiset<GangMember*>> on_;
    std::map<GangKey, Gang> gangs_;
    std::vector<double> urgent_waits_;
    std::size_t running_ = 0;
    TaskOracleCounts counts_;
};

}  // namespace bendspindle::scale
