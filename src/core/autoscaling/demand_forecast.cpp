#include "core/autoscaling/demand_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace bendspindle::core {

namespace {

// Period after the first call of `update` in which arrivals are not counted: they include a backlog
// from before.
constexpr Seconds initial_backlog_period{5};

}  // namespace

void DemandForecast::record_arrival(const JobSpec& spec, TimePoint now) {
    auto& history = classes_[spec.job_class];
    if (history.arrivals > 0) {
        const auto arrival_interval = between(history.last_arrival, now);
        history.arrival_interval +=
            (arrival_interval - history.arrival_interval) / std::min<double>(history.arrivals, 8);
    }
    ++history.arrivals;
    history.last_arrival = now;
    const double weight = std::min<double>(history.arrivals, 30);
    history.tasks += (spec.tasks - history.tasks) / weight;
    history.run += (spec.estimate - history.run) / weight;
    // Arrivals in the first seconds include the backlog from before, so they do not show the rate.
    if (counting_since_ && between(*counting_since_, now) > initial_backlog_period)
        history.recent_arrivals += 1;
}

void DemandForecast::update(const std::map<std::string, ClassDemand>& current_demand,
                            TimePoint now) {
    if (!counting_since_) counting_since_ = counted_until_ = now;
    const auto elapsed = between(counted_until_, now);
    const double decay = std::exp(-elapsed / config_.demand_memory);
    counted_time_ = counted_time_ * decay + elapsed;
    counted_until_ = now;
    for (auto& [name, history] : classes_) {
        history.recent_arrivals *= decay;
        const auto it = current_demand.find(name);
        const double value = it == current_demand.end() ? 0 : it->second.wanted;
        if (!history.has_mean) {
            history.has_mean = true;
            history.mean_wanted = value;
            history.mean_updated_at = now;
            continue;
        }
        const double passed = between(history.mean_updated_at, now).count();
        history.mean_updated_at = now;
        const double weight = 1 - std::exp(-passed / config_.demand_memory.count());
        history.mean_wanted += (value - history.mean_wanted) * weight;
    }
}

std::map<std::string, DemandForecast::Target> DemandForecast::targets(
    const std::map<std::string, ClassDemand>& current_demand, TimePoint now) const {
    std::map<std::string, Target> out;
    for (const auto& [name, history] : classes_) {
        const auto ratio = estimates_.ratio(name);
        // Jobs arrive independently, so the number of jobs varies about like a Poisson count: its
        // standard deviation is the square root of its mean.
        const double tasks_per_job =
            std::max(1.0, static_cast<double>(wanted_tasks_of_typical_job(history, ratio)));
        const auto it = current_demand.find(name);
        const auto demand = it == current_demand.end() ? ClassDemand{} : it->second;
        const double mean_wanted =
            std::max(history.mean_wanted, forecast_tasks(history, ratio, demand)) *
            silence_decay(history, now);
        const double target_tasks =
            mean_wanted + headroom(history, ratio) * std::sqrt(mean_wanted * tasks_per_job);
        out[name] = {&history.typical_job,
                     static_cast<std::uint32_t>(std::floor(target_tasks + 0.5))};
    }
    return out;
}

// Returns how many standard deviations of demand beyond its mean to keep machines for. The full
// headroom is used only for classes that cannot wait for a machine to boot.
double DemandForecast::headroom(const ClassHistory& history, double ratio) const {
    // A single job does not show how the demand of its class varies.
    if (history.arrivals == 1) return 0;
    const auto& spec = history.typical_job;
    constexpr double boot_time_margin = 1.3;
    constexpr double patient_headroom_fraction = 0.5;
    auto max_wait = Seconds::max();
    if (spec.deadline) max_wait = *spec.deadline - spec.estimate * ratio;
    const auto objective = config_.objectives.start_within.find(spec.job_class);
    if (objective != config_.objectives.start_within.end())
        max_wait = std::min(max_wait, objective->second);
    const auto* team = config_.team(spec.team);
    const bool guaranteed = team && (team->guaranteed.cpus > 0 || team->guaranteed.gpus > 0);
    if (guaranteed && config_.objectives.guaranteed_start)
        max_wait = std::min(max_wait, *config_.objectives.guaranteed_start);
    const bool can_wait_for_boot = max_wait > catalog_.longest_boot(spec) * boot_time_margin;
    return config_.headroom * (can_wait_for_boot ? patient_headroom_fraction : 1.0);
}

// Returns a factor that decreases once a class has been silent for longer than twice its usual
// arrival interval: the day's work may be over, and idle machines cost as much as busy ones.
double DemandForecast::silence_decay(const ClassHistory& history, TimePoint now) {
    if (history.arrivals < 2) return 1;
    const auto silence = between(history.last_arrival, now);
    if (silence <= history.arrival_interval * 2) return 1;
    return history.arrival_interval / (silence - history.arrival_interval);
}

// Returns how many tasks of a typical job of a class should run at once.
std::uint32_t DemandForecast::wanted_tasks_of_typical_job(const ClassHistory& history,
                                                          double ratio) {
    const auto& spec = history.typical_job;
    if (spec.kind != Kind::array || !spec.deadline) return spec.tasks;
    const double run = std::max(spec.estimate.count() * ratio, 0.5);
    const double rounds =
        std::max(1.0, std::floor(spec.deadline->count() * usable_slack_fraction / run));
    return static_cast<std::uint32_t>(std::ceil(spec.tasks / rounds));
}

// Returns the demand of a class at the time when a machine scaled out now would be running: the
// waiting tasks, the running tasks that will not have ended, and the tasks that arrive until then
// at the recent rate. Under steady load, that is the current demand; while load increases, the mean
// of past demand lags behind by more than a boot time.
double DemandForecast::forecast_tasks(const ClassHistory& history, double ratio,
                                      const ClassDemand& demand) const {
    constexpr Seconds min_counted_time{10};
    if (counted_time_ < min_counted_time || history.run <= Seconds{0}) return 0;
    const auto run = history.run * ratio;
    const double still_running_fraction =
        std::exp(-catalog_.longest_boot(history.typical_job) / run);
    // A single arrival does not determine a rate.
    const double arrivals = std::max(history.recent_arrivals - 1, 0.0);
    const double steady_state_tasks =
        arrivals / counted_time_.count() * history.tasks * run.count();
    return demand.waiting + (demand.wanted - demand.waiting) * still_running_fraction +
           steady_state_tasks * (1 - still_running_fraction);
}

}  // namespace bendspindle::core
