#include "fair_share/minimum_share.hpp"

#include <algorithm>
#include <string_view>

namespace bendspindle::fair_share {

namespace {

// A class or team with its accounts.
struct ShareGroup {
    double weight = 1;
    double minimum = 0;
    double used = 0;
    double filled = 0;  // share counted towards the minimum: running jobs and selected ones
    bool starving = false;
};
using ShareGroups = std::map<std::string, ShareGroup, std::less<>>;

// The minimums of all classes or of all teams.
class MinimumShareAllocator {
  public:
    MinimumShareAllocator(const std::vector<JobShare>& jobs, std::string_view JobShare::*name,
                          const std::map<std::string, double>& weights,
                          const FairShareSettings& settings)
        : jobs_(jobs), group_name_(name), starvation_timeout_(settings.starvation_timeout) {
        double total_weight = 0;
        for (const auto& job : jobs) {
            auto it = groups_.find(job.*name);
            if (it == groups_.end()) {
                it = groups_.emplace(job.*name, ShareGroup{}).first;
                const auto weight = weights.find(it->first);
                if (weight != weights.end()) it->second.weight = weight->second;
                total_weight += it->second.weight;
            }
            it->second.used += job.used;
            it->second.starving |= is_starving(job);
        }
        for (auto& [key, group] : groups_)
            group.minimum =
                total_weight > 0 ? settings.total_share * group.weight / total_weight : 0;
    }

    // Selects jobs until each minimum is filled. Running work is counted first, so that no waiting
    // job is selected for a minimum that running work already fills. Jobs are selected whole: the
    // last one may exceed the minimum by its own share.
    void select_jobs(std::vector<bool>& selected, std::vector<bool>& is_protected) {
        // A single class or team has no competitor that could starve it.
        if (groups_.size() < 2) return;
        for (std::size_t i = 0; i < jobs_.size(); ++i)
            if (jobs_[i].started_under_minimum_share)
                select_if_unfilled(i, jobs_[i].used + jobs_[i].waiting, selected);
        for (std::size_t i = 0; i < jobs_.size(); ++i) {
            if (jobs_[i].started_under_minimum_share || jobs_[i].used <= 0) continue;
            auto& group = group_of(i);
            // Prevents starvation by preemption: without protection, the urgent work that starved
            // a class also preempted the tasks that the class ran, so that its minimum was never
            // filled.
            is_protected[i] = group.starving && group.filled < group.minimum;
            group.filled += jobs_[i].used;
        }
        for (std::size_t i = 0; i < jobs_.size(); ++i)
            if (is_starving(jobs_[i])) select_if_unfilled(i, jobs_[i].waiting, selected);
    }

    std::map<std::string, double> deficits() const {
        std::map<std::string, double> out;
        for (const auto& [key, group] : groups_)
            if (group.starving && group.used < group.minimum) out[key] = group.minimum - group.used;
        return out;
    }

  private:
    bool is_starving(const JobShare& job) const {
        return !job.started_under_minimum_share && job.waiting > 0 &&
               job.waited >= starvation_timeout_;
    }
    ShareGroup& group_of(std::size_t job) { return groups_.find(jobs_[job].*group_name_)->second; }
    void select_if_unfilled(std::size_t job, double share, std::vector<bool>& selected) {
        auto& group = group_of(job);
        if (group.filled >= group.minimum) return;
        group.filled += share;
        selected[job] = true;
    }

    const std::vector<JobShare>& jobs_;
    std::string_view JobShare::*group_name_;
    std::chrono::duration<double> starvation_timeout_;
    ShareGroups groups_;
};

}  // namespace

MinimumShareResult assign_minimum_shares(const std::vector<JobShare>& oldest_first,
                                         const FairShareSettings& settings) {
    MinimumShareResult out;
    out.under_minimum_share.assign(oldest_first.size(), false);
    out.class_protected = out.team_protected = out.under_minimum_share;
    if (settings.total_share <= 0) return out;
    MinimumShareAllocator classes(oldest_first, &JobShare::job_class, settings.class_weights,
                                  settings);
    MinimumShareAllocator teams(oldest_first, &JobShare::team, settings.team_weights, settings);
    classes.select_jobs(out.under_minimum_share, out.class_protected);
    teams.select_jobs(out.under_minimum_share, out.team_protected);
    out.class_deficits = classes.deficits();
    out.team_deficits = teams.deficits();
    return out;
}

}  // namespace bendspindle::fair_share
