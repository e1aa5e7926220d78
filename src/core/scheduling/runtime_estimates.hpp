/// Owner of what was learned of run times: how far the owners' estimates are off, by class. Taught
/// by reconciliation as tasks complete; read by scheduling and autoscaling. Begins empty in each
/// term.
#pragma once

#include <map>
#include <string>

#include "core/cluster/job.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// Ratios of actual to estimated run times, bounded and smoothed, for each class.
class RuntimeEstimates {
  public:
    /// A task of the job completed after running this long.
    void ran(Job& job, Seconds time);
    /// Actual over estimated run time of a class; 1 while nothing is known of it.
    [[nodiscard]] double ratio(const std::string& job_class) const;
    /// Of one task.
    [[nodiscard]] Seconds expected_run(const Job& job) const;
    /// How much longer a placed task is expected to take.
    [[nodiscard]] Seconds remaining(const Job& job, const Assignment& assignment,
                                    TimePoint now) const;

  private:
    struct Learned {
        double ratio = 1;
        std::uint32_t samples = 0;
    };
    std::map<std::string, Learned> classes_;
};

}  // namespace bendspindle::core
