#include "core/scheduling/quota_accounting.hpp"

#include <algorithm>
#include <cmath>

namespace bendspindle::core {

namespace {

constexpr int service_step = 100;
constexpr int minimum_share_from = 10;  // between services and everything else
constexpr int minimum_share_to = 90;
constexpr int guarantee_step = 10;

bool beyond(double used, double limit) {
    return limit > 0 && used > limit + 1e-6;
}

}  // namespace

QuotaSnapshot QuotaAccounting::snapshot(TimePoint now) const {
    QuotaSnapshot out(config_, Capacity(catalog_, inventory_));
    for (const auto& team : config_.teams) out.use_[team.name] = Resources{};
    std::map<std::string, Resources> asked_for;
    for (const auto& [serial, job] : job_table_.all()) {
        out.use_[job->spec.team] += job->spec.need * static_cast<double>(job->assignments.size());
        if (job->is_terminal()) continue;
        auto& asked = asked_for[job->spec.team];
        asked += job->spec.need * static_cast<double>(job->spec.tasks - job->progress.finished);
        const auto* team = config_.team(job->spec.team);
        if (!team) continue;
        const auto& mine = team->guaranteed;
        if (mine.cpus <= 0 && mine.gpus <= 0) continue;
        if (beyond(asked.cpus, mine.cpus) || beyond(asked.gpus, mine.gpus)) continue;
        out.guaranteed_.insert(serial);
    }
    // Guard against quota after a failover: what a machine runs that is not fenced is not known, so
    // all of it counts against every team.
    for (const auto& [name, machine] : inventory_.all()) {
        // Guard against quota: nor is it known whose the orphaned tasks are. A team at its limit
        // was given what a cancelled job still used.
        if (machine.fencing.confirmed && machine.untracked.has_unknown_tasks)
            for (auto& [team, use] : out.use_) use += machine.untracked.resources;
        if (machine.fencing.confirmed || !machine.record.durable) continue;
        if (!machine.identity.type_known && !machine.record.unreadable) continue;
        for (auto& [team, use] : out.use_)
            use += machine.identity.type_known ? catalog_[machine.identity.type].size
                                               : catalog_.largest();
    }
    fill_minimum_shares(out, now);
    return out;
}

void QuotaAccounting::fill_minimum_shares(QuotaSnapshot& quota, TimePoint now) const {
    std::vector<fair_share::JobShare> job_shares;
    std::vector<std::uint64_t> serials;
    for (const auto& [serial, job] : job_table_.all()) {
        if (job->is_terminal() || !job->record.durable) continue;
        fair_share::JobShare job_share;
        job_share.job_class = job->spec.job_class;
        job_share.team = job->spec.team;
        job_share.used = quota.share(*job, job->assignments.size());
        job_share.waiting = quota.share(*job, job->idle_count());
        if (job->starvation.waiting_since)
            job_share.waited = between(*job->starvation.waiting_since, now);
        job_share.started_under_minimum_share = job->starvation.started_under_minimum_share;
        job_shares.push_back(job_share);
        serials.push_back(serial);
    }
    const auto shares = fair_share::assign_minimum_shares(job_shares, config_.fair_share_settings);
    // Guard against starving: within their minimums jobs go by age. By makespan, jobs of a class
    // that is served beyond its minimum most of the time kept a long one of another out at each
    // turn.
    int rank = minimum_share_from;
    for (std::size_t i = 0; i < serials.size(); ++i) {
        if (shares.class_protected[i]) quota.class_protected_.insert(serials[i]);
        if (shares.team_protected[i]) quota.team_protected_.insert(serials[i]);
        if (shares.under_minimum_share[i]) {
            quota.under_minimum_share_.emplace(serials[i], rank);
            if (job_shares[i].waiting > 0) rank = std::min(rank + 1, minimum_share_to);
        }
    }
}

int QuotaSnapshot::rank(const Job& job) const {
    int rank = job.spec.kind == Kind::service ? 0 : service_step;
    if (const auto it = under_minimum_share_.find(job.serial);
        it != under_minimum_share_.end() && rank > 0)
        return it->second;
    if (!guaranteed(job)) rank += guarantee_step;
    return rank + static_cast<int>(Priority::production) - static_cast<int>(job.spec.priority);
}

std::uint32_t QuotaSnapshot::remaining_tasks(const Job& job) const {
    const auto* team = config_.team(job.spec.team);
    if (!team) return 0;
    const auto& use = use_.at(job.spec.team);
    double most = job.spec.tasks;
    const auto narrow = [&](double limit, double used, double need) {
        if (limit > 0 && need > 0) most = std::min(most, std::floor((limit - used) / need + 1e-6));
    };
    narrow(team->limit.cpus, use.cpus, job.spec.need.cpus);
    narrow(team->limit.gpus, use.gpus, job.spec.need.gpus);
    return most < 1 ? 0 : static_cast<std::uint32_t>(most);
}

}  // namespace bendspindle::core
