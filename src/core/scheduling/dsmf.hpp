/// Dynamic shortest makespan first (DSMF): a pure function from a snapshot to binding decisions.
/// Called by `PlacementCycle`, which passes views of the cluster's machines and jobs.
///
/// The algorithm is from Di and Wang, "Dual-phase Just-in-time Workflow Scheduling in P2P Grid
/// Systems". Pipelines are processed in order of shortest remaining makespan, the eligible tasks of
/// one pipeline in order of longest rest path makespan (RPM), and each task is bound to the machine
/// with the earliest finish time. docs/design.md describes the differences from the paper.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "core/model/image.hpp"
#include "core/model/resources.hpp"
#include "core/model/time.hpp"
#include "core/scheduling/zone_constraint.hpp"

namespace bendspindle::core::dsmf {

/// A machine as seen by the placement cycle. `place` updates it for each task bound to it.
struct Machine {
    /// Resources that a running task frees when it ends.
    struct Release {
        Seconds in{0};  // time until the task is expected to end
        Resources freed;
    };
    Resources free;
    std::vector<Release> releases;  // of the running tasks, in order of time
    Seconds fetch_queue{0};         // time until the pending image fetches are done
    std::vector<std::pair<ImageId, Seconds>> images;  // time until each is available; 0: cached
    double fetch_gb_per_s = 1;
    double speed = 1;  // relative to the average of all machines
    double cost = 0;   // breaks ties of finish time: cheaper machines first
    std::size_t zone = 0;
    std::size_t group = 0;  // machines of one type and zone, either all spot or all on-demand

    /// Returns the time until the image is available, or null if it is neither cached nor pending.
    const Seconds* image(ImageId id) const {
        for (const auto& [known, arrival] : images)
            if (known == id) return &arrival;
        return nullptr;
    }
};

/// An eligible job of a pipeline. All of its tasks have the same RPM.
struct EligibleJob {
    std::size_t job = 0;  // index chosen by the caller
    std::uint32_t tasks = 0;
    bool gang = false;
    ZoneConstraint zones;  // counts the tasks on machines, including those of earlier attempts
    Resources need;
    ImageId image = 0;
    double image_gb = 0;
    Seconds run{0};  // expected run time of a task on an average machine
    // Length of the longest expected path from the end of this job to the end of its pipeline.
    Seconds rest_path_after{0};
    std::vector<bool> groups;  // whether each machine group is allowed; empty: all are
    std::vector<std::size_t> excluded_machines;  // indices of machines on which the job has failed

    /// Returns whether tasks of the job may run on the machine with the given index.
    bool allows(const Machine& machine, std::size_t index) const {
        if (!groups.empty() && !groups[machine.group]) return false;
        return excluded_machines.empty() ||
               std::find(excluded_machines.begin(), excluded_machines.end(), index) ==
                   excluded_machines.end();
    }
};

/// A group of dependent jobs, ordered as a unit.
struct Pipeline {
    // Precedes the makespan in the order; lower ranks are processed first (`QuotaSnapshot::rank`).
    int rank = 0;
    std::vector<EligibleJob> eligible;
    double stretch = 1;  // makespan factor under overload (fair_share/makespan_stretch)
    // Whether machines are reserved for a gang of the pipeline that cannot be bound.
    bool reserves_machines = false;
};

/// The decision to bind one task of a job to a machine. `pipeline` and `machine` are indices of the
/// arguments of `place`; `job` is `EligibleJob::job`.
struct Bind {
    std::size_t pipeline = 0;
    std::size_t job = 0;
    std::size_t machine = 0;
    Seconds available_in{0};  // time until the machine has the resources
    Seconds rpm{0};
    Seconds makespan{0};
};

/// The result of one call of `place`.
struct Result {
    std::vector<std::size_t> reserved;  // indices of the machines reserved for gangs
    std::vector<Bind> binds;
    std::vector<std::size_t> order;  // indices of the pipelines, in processing order
    std::vector<Seconds> makespan;   // by pipeline index
};

/// Returns the rest path makespan of each node of a dependency graph on average machines: its own
/// length plus the longest path after it. `waits_on[i]` lists the nodes that node i depends on, and
/// `transfer[i]` the transfer times from them.
[[nodiscard]] std::vector<Seconds> rest_path_makespans(
    const std::vector<Seconds>& length, const std::vector<std::vector<std::size_t>>& waits_on,
    const std::vector<std::vector<Seconds>>& transfer);

/// Returns the time until `need` fits on the machine, according to the expected ends of its running
/// tasks, or the maximum value if it never fits.
[[nodiscard]] Seconds time_until_fit(const Machine& machine, const Resources& need);
/// Returns the time until the job's image is available on the machine; 0 if it needs none.
[[nodiscard]] Seconds time_until_image(const Machine& machine, const EligibleJob& job);
/// Returns the time until a task of the job would end on the machine, or the maximum value if the
/// task never fits.
[[nodiscard]] Seconds finish_time(const Machine& machine, const EligibleJob& job);

/// Orders the pipelines and binds their eligible tasks. A task is bound only to a machine that has
/// the resources within `cycle`.
[[nodiscard]] Result place(const std::vector<Pipeline>& pipelines, std::vector<Machine>& machines,
                           Seconds cycle);

}  // namespace bendspindle::core::dsmf
