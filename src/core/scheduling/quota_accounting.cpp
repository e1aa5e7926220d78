#include "core/scheduling/quota_accounting.hpp"

#include <algorithm>
#include <cmath>

namespace bendspindle::core {

namespace {

// Ranks; lower ranks are scheduled first. Jobs under a fair-share minimum are ranked between
// services, which start at 0, and all other jobs, which start at 100. A job beyond its team's
// guarantee ranks 10 after a job of the same priority within it.
constexpr int non_service_rank = 100;
constexpr int first_minimum_share_rank = 10;
constexpr int last_minimum_share_rank = 90;
constexpr int beyond_guarantee_rank = 10;

bool exceeds(double used, double limit) {
    return limit > 0 && used > limit + 1e-6;
}

}  // namespace

QuotaSnapshot QuotaAccounting::snapshot(TimePoint now) const {
    QuotaSnapshot out(config_, Capacity(catalog_, inventory_));
    for (const auto& team : config_.teams) out.usage_[team.name] = Resources{};
    std::map<std::string, Resources> requested_by_team;
    for (const auto& [serial, job] : job_table_.all()) {
        out.usage_[job->spec.team] += job->spec.need * static_cast<double>(job->assignments.size());
        if (job->is_terminal()) continue;
        auto& requested = requested_by_team[job->spec.team];
        requested += job->spec.need * static_cast<double>(job->spec.tasks - job->progress.finished);
        const auto* team = config_.team(job->spec.team);
        if (!team) continue;
        const auto& guaranteed = team->guaranteed;
        if (guaranteed.cpus <= 0 && guaranteed.gpus <= 0) continue;
        if (exceeds(requested.cpus, guaranteed.cpus) || exceeds(requested.gpus, guaranteed.gpus))
            continue;
        out.guaranteed_.insert(serial);
    }
    // Prevents a breach of quota after a failover: the tasks on a machine that is not fenced are
    // unknown, so the whole machine counts against every team.
    for (const auto& [name, machine] : inventory_.all()) {
        // Prevents a breach of quota: the teams of orphaned tasks are unknown as well. Without
        // this, a team at its limit was granted resources that its cancelled job still used.
        if (machine.fencing.confirmed && machine.untracked.has_unknown_tasks)
            for (auto& [team, usage] : out.usage_) usage += machine.untracked.resources;
        if (machine.fencing.confirmed || !machine.record.durable) continue;
        if (!machine.identity.type_known && !machine.record.unreadable) continue;
        for (auto& [team, usage] : out.usage_)
            usage += machine.identity.type_known ? catalog_[machine.identity.type].size
                                                 : catalog_.largest();
    }
    assign_minimum_share_ranks(out, now);
    return out;
}

void QuotaAccounting::assign_minimum_share_ranks(QuotaSnapshot& quota, TimePoint now) const {
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
    // Prevents starvation: jobs under a minimum are ranked by age. When they were ordered by
    // makespan, short jobs of a class that mostly ran beyond its minimum repeatedly displaced a
    // long job of another class.
    int rank = first_minimum_share_rank;
    for (std::size_t i = 0; i < serials.size(); ++i) {
        if (shares.class_protected[i]) quota.class_protected_.insert(serials[i]);
        if (shares.team_protected[i]) quota.team_protected_.insert(serials[i]);
        if (shares.under_minimum_share[i]) {
            quota.under_minimum_share_.emplace(serials[i], rank);
            if (job_shares[i].waiting > 0) rank = std::min(rank + 1, last_minimum_share_rank);
        }
    }
}

int QuotaSnapshot::rank(const Job& job) const {
    int rank = job.spec.kind == Kind::service ? 0 : non_service_rank;
    if (const auto it = under_minimum_share_.find(job.serial);
        it != under_minimum_share_.end() && rank > 0)
        return it->second;
    if (!guaranteed(job)) rank += beyond_guarantee_rank;
    return rank + static_cast<int>(Priority::production) - static_cast<int>(job.spec.priority);
}

std::uint32_t QuotaSnapshot::remaining_tasks(const Job& job) const {
    const auto* team = config_.team(job.spec.team);
    if (!team) return 0;
    const auto& usage = usage_.at(job.spec.team);
    double max_tasks = job.spec.tasks;
    const auto apply_limit = [&](double limit, double used, double need) {
        if (limit > 0 && need > 0)
            max_tasks = std::min(max_tasks, std::floor((limit - used) / need + 1e-6));
    };
    apply_limit(team->limit.cpus, usage.cpus, job.spec.need.cpus);
    apply_limit(team->limit.gpus, usage.gpus, job.spec.need.gpus);
    return max_tasks < 1 ? 0 : static_cast<std::uint32_t>(max_tasks);
}

}  // namespace bendspindle::core
