/// Learned run times: by job class, the ratio of actual run times to the owners' estimates. Updated
/// by reconciliation when tasks complete; read by scheduling and autoscaling. Empty at the start of
/// each term.
#pragma once

#include <map>
#include <string>

#include "core/cluster/job.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// Bounded and smoothed ratios of actual to estimated run times, by job class.
class RuntimeEstimates {
  public:
    /// Records that a task of the job completed after running for `time`.
    void record_run_time(Job& job, Seconds time);
    /// Returns the ratio of actual to estimated run times of a class; 1 if none is known.
    [[nodiscard]] double ratio(const std::string& job_class) const;
    /// Returns the expected run time of one task of the job.
    [[nodiscard]] Seconds expected_run(const Job& job) const;
    /// Returns the time until an assigned task is expected to end.
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
