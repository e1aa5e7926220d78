#include "core/scheduling/dsmf.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <optional>

namespace bendspindle::core::dsmf {

namespace {

constexpr Seconds never{std::numeric_limits<double>::max()};

// Allocates the resources of one task on the machine and queues the fetch of its image, if needed.
void allocate(Machine& machine, const EligibleJob& job) {
    Resources available = machine.free;
    std::size_t used = 0;
    while (!available.holds(job.need) && used < machine.releases.size())
        available += machine.releases[used++].freed;
    // This bind uses resources that become free later, so the releases that provide them are merged
    // into `free`.
    machine.releases.erase(machine.releases.begin(),
                           machine.releases.begin() + static_cast<std::ptrdiff_t>(used));
    machine.free = available - job.need;
    if (job.image == 0 || machine.image(job.image)) return;
    machine.fetch_queue = time_until_image(machine, job);
    machine.images.push_back({job.image, machine.fetch_queue});
}

struct Candidate {
    std::size_t machine = 0;
    Seconds finish{0};
    Seconds available_in{0};
    double cost = 0;

    // Orders by earliest finish; ties are broken by lower cost, then by lower index.
    bool ranks_after(const Candidate& other) const {
        if (finish != other.finish) return finish > other.finish;
        if (cost != other.cost) return cost > other.cost;
        return machine > other.machine;
    }
};

std::optional<Candidate> candidate_on(const EligibleJob& job, const std::vector<Machine>& machines,
                                      std::size_t m, Seconds cycle) {
    const auto& machine = machines[m];
    const auto available_in = time_until_fit(machine, job.need);
    if (available_in > cycle) return std::nullopt;
    return Candidate{
        m, std::max(available_in, time_until_image(machine, job)) + job.run / machine.speed,
        available_in, machine.cost};
}

// Copies of machines, by index, from before a tentative binding changed them.
using SavedMachines = std::map<std::size_t, Machine>;

// Machines reserved for a gang, by index, and the time until all machines of that gang have the
// resources.
using Reservations = std::map<std::size_t, Seconds>;

// Binds up to all tasks of a job, each to the machine with the earliest finish time at that point.
// A bind changes only one machine, so a heap of candidates yields the next one without examining
// all machines again. A zone that no longer allows tasks of the job never does so again in this
// call, so its candidates are dropped.
std::vector<Candidate> bind_tasks(const EligibleJob& job, std::vector<Machine>& machines,
                                  const std::vector<std::size_t>& usable, Seconds cycle,
                                  const Reservations& reserved,
                                  std::optional<std::size_t> required_zone,
                                  SavedMachines* saved_machines) {
    // A task that ends before all machines of the gang have the resources does not delay the gang.
    const auto find_candidate = [&](std::size_t m) {
        auto candidate = candidate_on(job, machines, m, cycle);
        if (!candidate || reserved.empty()) return candidate;
        const auto reservation = reserved.find(m);
        if (reservation != reserved.end() && candidate->finish > reservation->second)
            candidate.reset();
        return candidate;
    };
    const auto ranks_lower = [](const Candidate& a, const Candidate& b) {
        return a.ranks_after(b);
    };
    std::vector<Candidate> heap;
    auto zones = job.zones;
    for (const auto m : usable) {
        if (required_zone && machines[m].zone != *required_zone) continue;
        if (!job.allows(machines[m], m)) continue;
        if (const auto candidate = find_candidate(m)) heap.push_back(*candidate);
    }
    std::make_heap(heap.begin(), heap.end(), ranks_lower);
    std::vector<Candidate> chosen;
    while (chosen.size() < job.tasks && !heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), ranks_lower);
        const auto candidate = heap.back();
        heap.pop_back();
        auto& machine = machines[candidate.machine];
        if (!zones.allows(machine.zone)) continue;
        if (saved_machines) saved_machines->try_emplace(candidate.machine, machine);
        allocate(machine, job);
        zones.add_task(machine.zone);
        chosen.push_back(candidate);
        if (const auto again = find_candidate(candidate.machine)) {
            heap.push_back(*again);
            std::push_heap(heap.begin(), heap.end(), ranks_lower);
        }
    }
    return chosen;
}

// Binds the tasks of a job that must be bound together: all tasks of a gang or none, and the tasks
// of a job with `one_zone` in the zone that takes the most of them, or of several such zones, in
// the one where the last task finishes earliest. Otherwise the first task of a service would bind
// the others to a zone without room while another zone had room for all.
std::vector<Candidate> bind_together(const EligibleJob& job, std::vector<Machine>& machines,
                                     const std::vector<std::size_t>& usable, Seconds cycle,
                                     const Reservations& reserved) {
    Seconds best_finish = never;
    std::vector<Candidate> best;
    const std::size_t zones_to_try = job.zones.one_zone ? job.zones.tasks_in_zone.size() : 1;
    for (std::size_t zone = 0; zone < zones_to_try; ++zone) {
        if (job.zones.one_zone && !job.zones.allows(zone)) continue;
        SavedMachines saved_machines;
        auto chosen =
            bind_tasks(job, machines, usable, cycle, reserved,
                       job.zones.one_zone ? std::optional(zone) : std::nullopt, &saved_machines);
        for (auto& [m, saved] : saved_machines) machines[m] = std::move(saved);
        if (job.gang && chosen.size() != job.tasks) continue;
        Seconds last{0};
        for (const auto& candidate : chosen) last = std::max(last, candidate.finish);
        if (chosen.size() < best.size() || (chosen.size() == best.size() && last >= best_finish))
            continue;
        best_finish = last;
        best = std::move(chosen);
    }
    for (const auto& candidate : best) allocate(machines[candidate.machine], job);
    return best;
}

// Reserves machines for a gang that cannot be bound. Without reservations, a gang of many machines
// starved: smaller jobs took each machine as it became free, so that all of them were never free at
// once. The machines with the earliest available resources are reserved; with `one_zone`, in the
// zone where the last of them is available earliest. Only tasks that end before then may be bound
// to them.
void reserve_machines(const EligibleJob& job, const std::vector<Machine>& machines,
                      Reservations& reserved) {
    std::vector<std::size_t> best;
    Seconds best_available_in = never;
    const std::size_t zones_to_try = job.zones.one_zone ? job.zones.tasks_in_zone.size() : 1;
    for (std::size_t zone = 0; zone < zones_to_try; ++zone) {
        if (job.zones.one_zone && !job.zones.allows(zone)) continue;
        std::vector<std::pair<Seconds, std::size_t>> available;
        for (std::size_t m = 0; m < machines.size(); ++m) {
            if ((job.zones.one_zone && machines[m].zone != zone) || reserved.contains(m)) continue;
            if (!job.allows(machines[m], m)) continue;
            const auto available_in = time_until_fit(machines[m], job.need);
            if (available_in != never) available.push_back({available_in, m});
        }
        if (available.size() < job.tasks) continue;
        std::nth_element(available.begin(), available.begin() + (job.tasks - 1), available.end());
        const auto last_available_in = available[job.tasks - 1].first;
        if (last_available_in >= best_available_in) continue;
        best_available_in = last_available_in;
        best.clear();
        for (std::size_t i = 0; i < job.tasks; ++i) best.push_back(available[i].second);
    }
    for (const auto m : best) reserved[m] = best_available_in;
}

// The fields of a machine that are examined for each waiting job, stored contiguously. On a busy
// cluster, nearly all machines are ruled out by these fields without examining their releases.
struct MachineSummary {
    Resources free;
    Seconds first_release = never;
    std::size_t machine = 0;
};

std::vector<MachineSummary> summarize(const std::vector<Machine>& machines) {
    std::vector<MachineSummary> out;
    out.reserve(machines.size());
    for (std::size_t m = 0; m < machines.size(); ++m) {
        const auto& releases = machines[m].releases;
        out.push_back({machines[m].free, releases.empty() ? never : releases.front().in, m});
    }
    std::sort(out.begin(), out.end(), [](const MachineSummary& a, const MachineSummary& b) {
        return a.first_release < b.first_release;
    });
    return out;
}

double max_speed(const std::vector<Machine>& machines) {
    double speed = 0;
    for (const auto& machine : machines) speed = std::max(speed, machine.speed);
    return speed;
}

// Returns the RPM of an eligible job: the time to wait, fetch the image and run on the best
// candidate, plus the path after it. Without a candidate, only the run time on an average machine
// is counted. Machines are sorted by their first release: once that release plus the shortest run
// time is no earlier than the best finish, only machines on which the job fits now can improve it.
Seconds rpm_of(const EligibleJob& job, const std::vector<Machine>& machines,
               const std::vector<MachineSummary>& summaries, double speed) {
    Seconds best = never;
    const auto min_run = speed > 0 ? job.run / speed : Seconds{0};
    for (const auto& summary : summaries) {
        const bool fits_now = summary.free.holds(job.need);
        if (!fits_now &&
            (summary.first_release == never || summary.first_release + min_run >= best))
            continue;
        const auto& machine = machines[summary.machine];
        if (!job.allows(machine, summary.machine)) continue;
        best = std::min(best, finish_time(machine, job));
    }
    if (best == never) best = job.run;
    return best + job.rest_path_after;
}

}  // namespace

std::vector<Seconds> rest_path_makespans(const std::vector<Seconds>& length,
                                         const std::vector<std::vector<std::size_t>>& waits_on,
                                         const std::vector<std::vector<Seconds>>& transfer) {
    const std::size_t n = length.size();
    std::vector<std::vector<std::pair<std::size_t, Seconds>>> successors(n);
    std::vector<std::size_t> pending(n, 0);
    for (std::size_t i = 0; i < n; ++i)
        for (std::size_t k = 0; k < waits_on[i].size(); ++k) {
            successors[waits_on[i][k]].push_back({i, transfer[i][k]});
            ++pending[waits_on[i][k]];
        }
    std::vector<Seconds> rest = length;
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < n; ++i)
        if (pending[i] == 0) ready.push_back(i);
    while (!ready.empty()) {
        const auto i = ready.back();
        ready.pop_back();
        Seconds longest_after{0};
        for (const auto& [next, transfer_time] : successors[i])
            longest_after = std::max(longest_after, transfer_time + rest[next]);
        rest[i] = length[i] + longest_after;
        for (const auto dependency : waits_on[i])
            if (--pending[dependency] == 0) ready.push_back(dependency);
    }
    return rest;
}

Seconds time_until_fit(const Machine& machine, const Resources& need) {
    Resources available = machine.free;
    if (available.holds(need)) return Seconds{0};
    for (const auto& release : machine.releases) {
        available += release.freed;
        if (available.holds(need)) return release.in;
    }
    return never;
}

Seconds time_until_image(const Machine& machine, const EligibleJob& job) {
    if (job.image == 0) return Seconds{0};
    if (const auto* arrival = machine.image(job.image)) return *arrival;
    return machine.fetch_queue + Seconds(job.image_gb / machine.fetch_gb_per_s);
}

Seconds finish_time(const Machine& machine, const EligibleJob& job) {
    const auto available_in = time_until_fit(machine, job.need);
    if (available_in == never) return never;
    return std::max(available_in, time_until_image(machine, job)) + job.run / machine.speed;
}

namespace {

// RPMs, by pipeline index and eligible job index.
using RpmTable = std::vector<std::vector<Seconds>>;

// Returns all RPMs and sets `makespan` for each pipeline: the longest RPM among its eligible jobs,
// multiplied by the pipeline's stretch factor.
RpmTable rpm_table(const std::vector<Pipeline>& pipelines, const std::vector<Machine>& machines,
                   std::vector<Seconds>& makespan) {
    RpmTable rpm(pipelines.size());
    makespan.assign(pipelines.size(), Seconds{0});
    const auto summaries = summarize(machines);
    const auto speed = max_speed(machines);
    for (std::size_t p = 0; p < pipelines.size(); ++p) {
        for (const auto& job : pipelines[p].eligible) {
            rpm[p].push_back(rpm_of(job, machines, summaries, speed));
            makespan[p] = std::max(makespan[p], rpm[p].back());
        }
        makespan[p] *= pipelines[p].stretch;
    }
    return rpm;
}

// Returns the pipeline indices ordered by rank, then by shortest makespan.
std::vector<std::size_t> pipeline_order(const std::vector<Pipeline>& pipelines,
                                        const std::vector<Seconds>& makespan) {
    std::vector<std::size_t> order(pipelines.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        if (pipelines[a].rank != pipelines[b].rank) return pipelines[a].rank < pipelines[b].rank;
        return makespan[a] < makespan[b];
    });
    return order;
}

// Returns the job indices of a pipeline ordered by longest RPM.
std::vector<std::size_t> job_order(const std::vector<Seconds>& rpm) {
    std::vector<std::size_t> jobs(rpm.size());
    std::iota(jobs.begin(), jobs.end(), std::size_t{0});
    std::stable_sort(jobs.begin(), jobs.end(),
                     [&](std::size_t a, std::size_t b) { return rpm[a] > rpm[b]; });
    return jobs;
}

// Returns the smallest need for each resource among all jobs: no job fits in less.
Resources min_need(const std::vector<Pipeline>& pipelines) {
    constexpr auto max = std::numeric_limits<double>::max();
    Resources min_needed{max, max, max, max};
    for (const auto& pipeline : pipelines)
        for (const auto& job : pipeline.eligible) {
            min_needed.cpus = std::min(min_needed.cpus, job.need.cpus);
            min_needed.gpus = std::min(min_needed.gpus, job.need.gpus);
            min_needed.memory_gb = std::min(min_needed.memory_gb, job.need.memory_gb);
            min_needed.heartbeat_bytes =
                std::min(min_needed.heartbeat_bytes, job.need.heartbeat_bytes);
        }
    return min_needed;
}

// Returns the indices of the machines on which the smallest need may fit within the cycle. Only
// these are examined for binds: on a busy cluster, a few of hundreds.
std::vector<std::size_t> machines_with_resources(const std::vector<Machine>& machines,
                                                 const Resources& min_needed, Seconds cycle) {
    std::vector<std::size_t> usable;
    for (std::size_t m = 0; m < machines.size(); ++m) {
        const auto& machine = machines[m];
        const bool frees_within_cycle =
            !machine.releases.empty() && machine.releases.front().in <= cycle;
        if (frees_within_cycle || machine.free.holds(min_needed)) usable.push_back(m);
    }
    return usable;
}

}  // namespace

Result place(const std::vector<Pipeline>& pipelines, std::vector<Machine>& machines,
             Seconds cycle) {
    Result result;
    const auto rpm = rpm_table(pipelines, machines, result.makespan);
    result.order = pipeline_order(pipelines, result.makespan);
    const auto usable = machines_with_resources(machines, min_need(pipelines), cycle);
    Reservations reserved;
    for (const auto p : result.order) {
        const auto& pipeline = pipelines[p];
        for (const auto j : job_order(rpm[p])) {
            const auto& job = pipeline.eligible[j];
            const auto chosen =
                job.gang || job.zones.one_zone
                    ? bind_together(job, machines, usable, cycle, reserved)
                    : bind_tasks(job, machines, usable, cycle, reserved, std::nullopt, nullptr);
            if (chosen.empty() && job.gang && job.tasks > 0 && pipeline.reserves_machines &&
                !job.zones.spread)
                reserve_machines(job, machines, reserved);
            for (const auto& candidate : chosen)
                result.binds.push_back(Bind{p, job.job, candidate.machine, candidate.available_in,
                                            rpm[p][j], result.makespan[p]});
        }
    }
    for (const auto& [machine, until] : reserved) result.reserved.push_back(machine);
    return result;
}

}  // namespace bendspindle::core::dsmf
