/// Dynamic shortest makespan first: a pure function from a snapshot to decisions. Called by
/// `PlacementCycle`; knows neither the machines nor the jobs of the cluster, only their views.
///
/// Di and Wang, "Dual-phase Just-in-time Workflow Scheduling in P2P Grid Systems". Pipelines are
/// taken in order of shortest remaining makespan, the eligible tasks of one pipeline by longest
/// rest path makespan (RPM), and each task goes to the machine that finishes it the earliest.
/// docs/design.md says what was kept and what was changed.
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

namespace bendspindle::core::dsmf {

/// One machine as the placement cycle sees it. Changed by `place` as tasks are bound to it.
struct Machine {
    /// What a task gives back when it ends.
    struct Release {
        Seconds in{0};
        Resources room;
    };
    Resources free;
    std::vector<Release> releases;  // running tasks, by the time until they are expected to end
    Seconds fetch_queue{0};         // images this machine is still fetching
    std::vector<std::pair<ImageId, Seconds>> images;  // cached (0) or on its way, by arrival
    double fetch_gb_per_s = 1;
    double speed = 1;  // relative to all machines
    double cost = 0;   // breaks ties of finish time: cheaper first
    std::size_t zone = 0;
    std::size_t group = 0;  // machines of one type, zone and kind

    const Seconds* image(ImageId id) const {
        for (const auto& [known, arrival] : images)
            if (known == id) return &arrival;
        return nullptr;
    }
};

/// One eligible job of a pipeline; its tasks share its RPM.
struct EligibleJob {
    std::size_t job = 0;  // the caller's index
    std::uint32_t tasks = 0;
    bool gang = false;
    bool one_zone = false;
    bool spread = false;
    std::uint32_t spread_of = 0;  // the job's total number of tasks, for `spread`
    // Tasks of this job already on machines, per zone, attempts of the past included.
    std::vector<std::uint32_t> in_zone;
    Resources need;
    ImageId image = 0;
    double image_gb = 0;
    Seconds run{0};            // expected run time of a task at the averages of all machines
    Seconds rest_after{0};     // longest expected path from this job's end to the pipeline's end
    std::vector<bool> groups;  // allowed groups of machines; empty: all
    std::vector<std::size_t> barred;  // machines on which it failed

    bool allows(const Machine& machine, std::size_t index) const {
        if (!groups.empty() && !groups[machine.group]) return false;
        return barred.empty() || std::find(barred.begin(), barred.end(), index) == barred.end();
    }
};

/// What is ordered as a whole.
struct Pipeline {
    int rank = 0;  // the exceptions: services, guarantees, preemption order. Lower goes first
    std::vector<EligibleJob> eligible;
    double stretch =
        1;  // of its makespan, where it must share what there is (fair_share/makespan_stretch)
    // Its gangs that fit nowhere keep machines for themselves until all of them have opened.
    bool reserves = false;
};

/// A decision: one task of the job goes to the machine. Indices are those of what was given.
struct Bind {
    std::size_t pipeline = 0;
    std::size_t job = 0;
    std::size_t machine = 0;
    Seconds opens{0};
    Seconds rpm{0};
    Seconds makespan{0};
};

/// All decisions of one call.
struct Result {
    std::vector<std::size_t> reserved;  // machines kept for gangs of pipelines that reserve
    std::vector<Bind> binds;
    // Pipelines in the order they were handled, and their makespans.
    std::vector<std::size_t> order;
    std::vector<Seconds> makespan;
};

/// Rest path makespans of a graph of waits-on edges at the averages of all machines: per node, its
/// own length plus the longest path behind it. `waits_on[i]` lists what node i waits on.
[[nodiscard]] std::vector<Seconds> rest_paths(const std::vector<Seconds>& length,
                                              const std::vector<std::vector<std::size_t>>& waits_on,
                                              const std::vector<std::vector<Seconds>>& transfer);

/// The time until `need` fits, judged by running tasks; `max` if never.
[[nodiscard]] Seconds opens_in(const Machine& machine, const Resources& need);
/// The time until the job's image is there.
[[nodiscard]] Seconds input_arrives(const Machine& machine, const EligibleJob& job);
/// The time until a task of the job would end there; `max` if never.
[[nodiscard]] Seconds finish_time(const Machine& machine, const EligibleJob& job);

/// Orders pipelines and binds their eligible tasks. Only what opens within `cycle` counts.
[[nodiscard]] Result place(const std::vector<Pipeline>& pipelines, std::vector<Machine>& machines,
                           Seconds cycle);

}  // namespace bendspindle::core::dsmf
