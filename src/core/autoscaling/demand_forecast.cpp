#include "core/autoscaling/demand_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace bendspindle::core {

namespace {

// After the first call of `learn`: what comes before has piled up.
constexpr Seconds initial_backlog{5};

}  // namespace

void DemandForecast::arrived(const JobSpec& spec, TimePoint now) {
    auto& learned = classes_[spec.job_class];
    if (learned.arrivals > 0) {
        const auto gap = between(learned.last_arrival, now);
        learned.gap += (gap - learned.gap) / std::min<double>(learned.arrivals, 8);
    }
    ++learned.arrivals;
    learned.last_arrival = now;
    const double weight = std::min<double>(learned.arrivals, 30);
    learned.tasks += (spec.tasks - learned.tasks) / weight;
    learned.run += (spec.estimate - learned.run) / weight;
    // What comes in the first moments has piled up before and tells nothing of the rate.
    if (since_ && between(*since_, now) > initial_backlog) learned.recent += 1;
}

void DemandForecast::learn(const std::map<std::string, ClassDemand>& now_wanted, TimePoint now) {
    if (!since_) since_ = counted_until_ = now;
    const auto counted = between(counted_until_, now);
    const double fade = std::exp(-counted / config_.demand_memory);
    counted_ = counted_ * fade + counted;
    counted_until_ = now;
    for (auto& [name, learned] : classes_) {
        learned.recent *= fade;
        const auto it = now_wanted.find(name);
        const double value = it == now_wanted.end() ? 0 : it->second.wanted;
        if (!learned.seen) {
            learned.seen = true;
            learned.mean = value;
            learned.last = now;
            continue;
        }
        const double passed = between(learned.last, now).count();
        learned.last = now;
        const double weight = 1 - std::exp(-passed / config_.demand_memory.count());
        learned.mean += (value - learned.mean) * weight;
    }
}

std::map<std::string, DemandForecast::Target> DemandForecast::targets(
    const std::map<std::string, ClassDemand>& now_wanted, TimePoint now) const {
    std::map<std::string, Target> out;
    for (const auto& [name, learned] : classes_) {
        const auto ratio = estimates_.ratio(name);
        // Jobs arrive on their own, so the spread of demand in whole jobs is about that of counts.
        const double a_job = std::max(1.0, static_cast<double>(wanted_of_typical(learned, ratio)));
        const auto it = now_wanted.find(name);
        const auto asks = it == now_wanted.end() ? ClassDemand{} : it->second;
        const double mean =
            std::max(learned.mean, forecast(learned, ratio, asks)) * continuation(learned, now);
        const double most = mean + headroom(learned, ratio) * std::sqrt(mean * a_job);
        out[name] = {&learned.typical, static_cast<std::uint32_t>(std::floor(most + 0.5))};
    }
    return out;
}

// Machines are kept ready beyond mean demand only for classes that cannot wait for a boot.
double DemandForecast::headroom(const Learned& learned, double ratio) const {
    // One job tells nothing of how its class spreads.
    if (learned.arrivals == 1) return 0;
    const auto& spec = learned.typical;
    constexpr double slow_boot = 1.3;
    constexpr double patient_share = 0.5;
    auto wait = Seconds::max();
    if (spec.deadline) wait = *spec.deadline - spec.estimate * ratio;
    const auto objective = config_.objectives.start_within.find(spec.job_class);
    if (objective != config_.objectives.start_within.end())
        wait = std::min(wait, objective->second);
    const auto* team = config_.team(spec.team);
    const bool guaranteed = team && (team->guaranteed.cpus > 0 || team->guaranteed.gpus > 0);
    if (guaranteed && config_.objectives.guaranteed_start)
        wait = std::min(wait, *config_.objectives.guaranteed_start);
    const bool patient = wait > catalog_.longest_boot(spec) * slow_boot;
    return config_.headroom * (patient ? patient_share : 1.0);
}

// When a class has been silent for longer than its jobs usually are apart, what was learned of it
// is believed less and less: the day's work may be over, and idle machines cost as much as busy
// ones.
double DemandForecast::continuation(const Learned& learned, TimePoint now) {
    if (learned.arrivals < 2) return 1;
    const auto silent = between(learned.last_arrival, now);
    if (silent <= learned.gap * 2) return 1;
    return learned.gap / (silent - learned.gap);
}

// The part of a typical job of a class that runs at once.
std::uint32_t DemandForecast::wanted_of_typical(const Learned& learned, double ratio) {
    const auto& spec = learned.typical;
    if (spec.kind != Kind::array || !spec.deadline) return spec.tasks;
    const double run = std::max(spec.estimate.count() * ratio, 0.5);
    const double rounds = std::max(1.0, std::floor(spec.deadline->count() * slack_used / run));
    return static_cast<std::uint32_t>(std::ceil(spec.tasks / rounds));
}

// What a class will want when a machine scaled out now is up: what waits, what still runs then, and
// what arrives until then, at the rate of late. In steady times that is what it wants now; while
// work builds up, the mean of the past is behind by more than a boot.
double DemandForecast::forecast(const Learned& learned, double ratio,
                                const ClassDemand& demand) const {
    constexpr Seconds least_counted{10};
    if (counted_ < least_counted || learned.run <= Seconds{0}) return 0;
    const auto run = learned.run * ratio;
    const double stays = std::exp(-catalog_.longest_boot(learned.typical) / run);
    // One arrival tells nothing of a rate.
    const double arrived = std::max(learned.recent - 1, 0.0);
    const double comes = arrived / counted_.count() * learned.tasks * run.count();
    return demand.waiting + (demand.wanted - demand.waiting) * stays + comes * (1 - stays);
}

}  // namespace bendspindle::core
