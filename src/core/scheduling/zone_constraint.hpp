/// The rule for the zones of a job with `one_zone` or `spread`: which zones may take another of its
/// tasks, given where its other tasks are. Placement (`dsmf`) and autoscaling (`BinPacking`) ask
/// the same rule: a machine on which a task may not be placed is no capacity for it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/job_spec.hpp"

namespace bendspindle::core {

/// The constraint of one job and the zones of its tasks so far. Zones are identified by their index
/// in `Config::zones`; a zone that the configuration does not name takes no tasks.
struct ZoneConstraint {
    bool one_zone = false;                     // all tasks must be in the same zone
    bool spread = false;                       // at most half of `total_tasks`, rounded up, in one
    std::uint32_t total_tasks = 0;             // of the job
    std::vector<std::uint32_t> tasks_in_zone;  // number of tasks in each zone

    /// Returns the constraint of a job without tasks in any of `zones` zones.
    [[nodiscard]] static ZoneConstraint of(const JobSpec& spec, std::size_t zones) {
        return {spec.one_zone, spec.spread, spec.tasks, std::vector<std::uint32_t>(zones, 0)};
    }
    /// Returns whether the zone may take another task.
    [[nodiscard]] bool allows(std::size_t zone) const;
    void add_task(std::size_t zone) { ++tasks_in_zone[zone]; }
};

}  // namespace bendspindle::core
