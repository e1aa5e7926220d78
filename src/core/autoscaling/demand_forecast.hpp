/// Owner of what was learned of demand: how much of each class is wanted, how often its jobs come,
/// and what follows from that for a boot ahead. Used by `Autoscaler` alone. Begins empty in each
/// term.
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

/// What a class asks for now, in tasks: all, and those of them that are not placed.
struct ClassDemand {
    double wanted = 0;
    double waiting = 0;
};

/// What each class is expected to want, learned from arrivals and from what was wanted.
class DemandForecast {
  public:
    DemandForecast(const Config& config, const MachineCatalog& catalog,
                   const RuntimeEstimates& estimates)
        : config_(config), catalog_(catalog), estimates_(estimates) {}

    /// A job was accepted.
    void arrived(const JobSpec& spec, TimePoint now);
    /// A job of the class as of now.
    void note_typical(const JobSpec& spec) { classes_[spec.job_class].typical = spec; }
    /// Takes in what each class asks for now.
    void learn(const std::map<std::string, ClassDemand>& now_wanted, TimePoint now);

    /// `typical` points into this owner, which never forgets a class.
    struct Target {
        const JobSpec* typical;
        std::uint32_t tasks;
    };
    /// Tasks of each class to keep machines for, asked for now or not.
    [[nodiscard]] std::map<std::string, Target> targets(
        const std::map<std::string, ClassDemand>& now_wanted, TimePoint now) const;

  private:
    struct Learned {
        JobSpec typical;
        double mean = 0;  // of tasks wanted at once
        bool seen = false;
        TimePoint last{};
        Seconds gap{0};  // between arrivals of its jobs
        TimePoint last_arrival{};
        std::uint32_t arrivals = 0;
        double recent = 0;  // arrivals of late, the older the less
        double tasks = 0;   // of a job, on average
        Seconds run{0};     // of a task by its owner, on average
    };
    // `ratio`: of the class's run times to its owners' estimates.
    double headroom(const Learned& learned, double ratio) const;
    static double continuation(const Learned& learned, TimePoint now);
    static std::uint32_t wanted_of_typical(const Learned& learned, double ratio);
    double forecast(const Learned& learned, double ratio, const ClassDemand& demand) const;

    const Config& config_;
    const MachineCatalog& catalog_;
    const RuntimeEstimates& estimates_;
    std::map<std::string, Learned> classes_;
    std::optional<TimePoint> since_;
    TimePoint counted_until_{};
    Seconds counted_{0};  // how long arrivals have been counted, the older time the less
};

/// Part of a deadline's or an objective's slack that planning counts on.
inline constexpr double slack_used = 0.6;

}  // namespace bendspindle::core
