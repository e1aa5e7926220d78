#include "core/ledger.hpp"

#include <algorithm>
#include <cmath>

namespace bendspindle::core {

namespace {

constexpr int service_step = 100;
constexpr int guarantee_step = 10;

bool beyond(double used, double limit) {
    return limit > 0 && used > limit + 1e-6;
}

}  // namespace

Standing Ledger::standing() const {
    Standing out(config_);
    for (const auto& team : config_.teams) out.use_[team.name] = Resources{};
    std::map<std::string, Resources> claimed;
    for (const auto& [serial, job] : pipelines_.all()) {
        out.use_[job->spec.team] += job->spec.need * static_cast<double>(job->placed.size());
        if (job->over()) continue;
        auto& claim = claimed[job->spec.team];
        claim += job->spec.need * static_cast<double>(job->spec.tasks - job->finished);
        const auto* team = config_.team(job->spec.team);
        if (!team) continue;
        const auto& mine = team->guaranteed;
        if (mine.cpus <= 0 && mine.gpus <= 0) continue;
        if (beyond(claim.cpus, mine.cpus) || beyond(claim.gpus, mine.gpus)) continue;
        out.guaranteed_.insert(serial);
    }
    // Guard against `quota` after a takeover: what an unconfirmed machine runs is not known, so
    // all of it counts against every team.
    for (const auto& [name, machine] : fleet_.all()) {
        if (machine.confirmed || !machine.durable || !machine.type_known) continue;
        for (auto& [team, use] : out.use_) use += catalog_[machine.type].size;
    }
    return out;
}

int Standing::rank(const Job& job) const {
    int rank = job.spec.kind == Kind::service ? 0 : service_step;
    if (!guaranteed(job)) rank += guarantee_step;
    return rank + static_cast<int>(Priority::production) - static_cast<int>(job.spec.priority);
}

std::uint32_t Standing::room(const Job& job) const {
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
