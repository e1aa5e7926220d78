#include "fair_share/minimum_share.hpp"

#include <algorithm>
#include <string_view>

namespace bendspindle::fair_share {

namespace {

// A class or a team.
struct Party {
    double weight = 1;
    double minimum = 0;
    double used = 0;
    double taken = 0;  // of the minimum, by jobs that were marked for it
    bool starving = false;
};
using Parties = std::map<std::string, Party, std::less<>>;

// The minimums of all classes, or of all teams.
class PartyShares {
  public:
    PartyShares(const std::vector<JobShare>& jobs, std::string_view JobShare::*name,
                const std::map<std::string, double>& weights, const FairShareSettings& settings)
        : jobs_(jobs), name_(name), patience_(settings.starvation_timeout) {
        double sum = 0;
        for (const auto& job : jobs) {
            auto it = parties_.find(job.*name);
            if (it == parties_.end()) {
                it = parties_.emplace(job.*name, Party{}).first;
                const auto weight = weights.find(it->first);
                if (weight != weights.end()) it->second.weight = weight->second;
                sum += it->second.weight;
            }
            it->second.used += job.used;
            it->second.starving |= waits(job);
        }
        for (auto& [key, party] : parties_)
            party.minimum = sum > 0 ? settings.total_share * party.weight / sum : 0;
    }

    // What runs counts first, so that a minimum that is filled by running work asks for no more. A
    // job is never cut: the last one may go beyond the minimum by its own size.
    void mark(std::vector<bool>& marked, std::vector<bool>& is_protected) {
        // One alone has nobody to be shut out by.
        if (parties_.size() < 2) return;
        for (std::size_t i = 0; i < jobs_.size(); ++i)
            if (jobs_[i].kept) take(i, jobs_[i].used + jobs_[i].waiting, marked);
        for (std::size_t i = 0; i < jobs_.size(); ++i) {
            if (jobs_[i].kept || jobs_[i].used <= 0) continue;
            auto& party = party_of(i);
            // Guard against starving by preemption: without protection the urgent work that shuts a
            // class out preempted what that class ran, and the class never filled its minimum.
            is_protected[i] = party.starving && party.taken < party.minimum;
            party.taken += jobs_[i].used;
        }
        for (std::size_t i = 0; i < jobs_.size(); ++i)
            if (waits(jobs_[i])) take(i, jobs_[i].waiting, marked);
    }

    std::map<std::string, double> behind() const {
        std::map<std::string, double> out;
        for (const auto& [key, party] : parties_)
            if (party.starving && party.used < party.minimum) out[key] = party.minimum - party.used;
        return out;
    }

  private:
    bool waits(const JobShare& job) const {
        return !job.kept && job.waiting > 0 && job.waited >= patience_;
    }
    Party& party_of(std::size_t job) { return parties_.find(jobs_[job].*name_)->second; }
    void take(std::size_t job, double share, std::vector<bool>& marked) {
        auto& party = party_of(job);
        if (party.taken >= party.minimum) return;
        party.taken += share;
        marked[job] = true;
    }

    const std::vector<JobShare>& jobs_;
    std::string_view JobShare::*name_;
    std::chrono::duration<double> patience_;
    Parties parties_;
};

}  // namespace

MinimumShareResult assign_minimum_shares(const std::vector<JobShare>& oldest_first,
                                         const FairShareSettings& settings) {
    MinimumShareResult out;
    out.jobs.assign(oldest_first.size(), false);
    out.class_protected = out.team_protected = out.jobs;
    if (settings.total_share <= 0) return out;
    PartyShares classes(oldest_first, &JobShare::job_class, settings.class_weights, settings);
    PartyShares teams(oldest_first, &JobShare::team, settings.team_weights, settings);
    classes.mark(out.jobs, out.class_protected);
    teams.mark(out.jobs, out.team_protected);
    out.behind_classes = classes.behind();
    out.behind_teams = teams.behind();
    return out;
}

}  // namespace bendspindle::fair_share
