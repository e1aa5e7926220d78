/// Forecast of demand: learns the demand and the arrival rate of each job class, and predicts the
/// demand at the time when a machine scaled out now would be running. Used only by `Autoscaler`.
/// Empty at the start of each term.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/cluster/machine_catalog.hpp"
#include "core/config.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/time.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

/// The current demand of a class, in tasks: all wanted tasks, and those of them that are not
/// placed.
struct ClassDemand {
    double wanted = 0;
    double waiting = 0;
};

/// Forecasts the demand of each class from its arrivals and past demand.
class DemandForecast {
  public:
    DemandForecast(const Config& config, const MachineCatalog& catalog,
                   const RuntimeEstimates& estimates)
        : config_(config), catalog_(catalog), estimates_(estimates) {}

    /// Records the acceptance of a job.
    void record_arrival(const JobSpec& spec, TimePoint now);
    /// Sets the typical job of the class of `spec`.
    void set_typical_job(const JobSpec& spec) { classes_[spec.job_class].typical_job = spec; }
    /// Updates the forecast with the current demand of each class.
    void update(const std::map<std::string, ClassDemand>& current_demand, TimePoint now);

    /// Tasks to keep machines for. `typical_job` points into the forecast, which never removes a
    /// class.
    struct Target {
        const JobSpec* typical_job;
        std::uint32_t tasks;
    };
    /// Returns, for each class, the tasks to keep machines for, including tasks not submitted yet.
    [[nodiscard]] std::map<std::string, Target> targets(
        const std::map<std::string, ClassDemand>& current_demand, TimePoint now) const;

  private:
    struct ClassHistory {
        JobSpec typical_job;
        double mean_wanted = 0;  // of the tasks wanted at once, exponentially weighted
        bool has_mean = false;
        TimePoint mean_updated_at{};
        Seconds arrival_interval{0};  // average interval between arrivals of jobs
        TimePoint last_arrival{};
        std::uint32_t arrivals = 0;
        double recent_arrivals = 0;  // number of arrivals, decayed by `Config::demand_memory`
        double tasks = 0;            // average number of tasks of a job
        Seconds run{0};              // average of the owners' run time estimates of a task
    };
    // `ratio` is that of the class's actual run times to the owners' estimates.
    double headroom(const ClassHistory& history, double ratio) const;
    static double silence_decay(const ClassHistory& history, TimePoint now);
    static std::uint32_t wanted_tasks_of_typical_job(const ClassHistory& history, double ratio);
    double forecast_tasks(const ClassHistory& history, double ratio,
                          const ClassDemand& demand) const;

    const Config& config_;
    const MachineCatalog& catalog_;
    const RuntimeEstimates& estimates_;
    std::map<std::string, ClassHistory> classes_;
    std::optional<TimePoint> counting_since_;
    TimePoint counted_until_{};
    // Time for which arrivals were counted, decayed like `recent_arrivals`.
    Seconds counted_time_{0};
};

/// Fraction of the slack of a deadline or an objective that planning uses.
inline constexpr double usable_slack_fraction = 0.6;

}  // namespace bendspindle::core
