#include "core/scheduling/dsmf.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <optional>

namespace bendspindle::core::dsmf {

namespace {

constexpr Seconds never{std::numeric_limits<double>::max()};

// At most half of the tasks, rounded up, may be in one zone.
bool spread_allows(const EligibleJob& job, const std::vector<std::uint32_t>& in_zone,
                   std::size_t zone) {
    if (!job.spread) return true;
    return in_zone[zone] + 1 <= (job.spread_of + 1) / 2;
}

bool zone_allows(const EligibleJob& job, const std::vector<std::uint32_t>& in_zone,
                 std::size_t zone) {
    if (!job.one_zone) return true;
    for (std::size_t z = 0; z < in_zone.size(); ++z)
        if (z != zone && in_zone[z] > 0) return false;
    return true;
}

void take(Machine& machine, const EligibleJob& job) {
    Resources open = machine.free;
    std::size_t used = 0;
    while (!open.holds(job.need) && used < machine.releases.size())
        open += machine.releases[used++].room;
    // Room that opens later is spent by this bind, so the releases that make it are folded in.
    machine.releases.erase(machine.releases.begin(),
                           machine.releases.begin() + static_cast<std::ptrdiff_t>(used));
    machine.free = open - job.need;
    if (job.image == 0 || machine.image(job.image)) return;
    machine.fetch_queue = input_arrives(machine, job);
    machine.images.push_back({job.image, machine.fetch_queue});
}

struct Choice {
    std::size_t machine = 0;
    Seconds finish{0};
    Seconds opens{0};
    double cost = 0;

    // Earliest finish first; cheaper machines, then those named first, break ties.
    bool after(const Choice& other) const {
        if (finish != other.finish) return finish > other.finish;
        if (cost != other.cost) return cost > other.cost;
        return machine > other.machine;
    }
};

std::optional<Choice> choice_of(const EligibleJob& job, const std::vector<Machine>& machines,
                                std::size_t m, Seconds cycle) {
    const auto& machine = machines[m];
    const auto opens = opens_in(machine, job.need);
    if (opens > cycle) return std::nullopt;
    return Choice{m, std::max(opens, input_arrives(machine, job)) + job.run / machine.speed, opens,
                  machine.cost};
}

// Machines as they were before a trial changed them.
using Originals = std::vector<std::pair<std::size_t, Machine>>;

// Machines that are kept for a gang, and until when: by then all of its machines have opened.
using Reservations = std::map<std::size_t, Seconds>;

// Binds up to all tasks of a job, each to the machine that then finishes it the earliest. A bind
// changes one machine only, so a heap of the candidates finds the next one without looking at all
// machines again. Zones that are closed to a job stay closed, so a candidate there is dropped.
std::vector<Choice> bind_tasks(const EligibleJob& job, std::vector<Machine>& machines,
                               const std::vector<std::size_t>& open, Seconds cycle,
                               const Reservations& reserved, std::optional<std::size_t> only_zone,
                               Originals* originals) {
    // What ends before the rest of the gang's machines open does not delay it.
    const auto choose = [&](std::size_t m) {
        auto choice = choice_of(job, machines, m, cycle);
        if (!choice || reserved.empty()) return choice;
        const auto kept = reserved.find(m);
        if (kept != reserved.end() && choice->finish > kept->second) choice.reset();
        return choice;
    };
    const auto later_one = [](const Choice& a, const Choice& b) { return a.after(b); };
    std::vector<Choice> heap;
    auto in_zone = job.in_zone;
    for (const auto m : open) {
        if (only_zone && machines[m].zone != *only_zone) continue;
        if (!job.allows(machines[m], m)) continue;
        if (const auto choice = choose(m)) heap.push_back(*choice);
    }
    std::make_heap(heap.begin(), heap.end(), later_one);
    std::vector<Choice> chosen;
    while (chosen.size() < job.tasks && !heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), later_one);
        const auto choice = heap.back();
        heap.pop_back();
        auto& machine = machines[choice.machine];
        if (!zone_allows(job, in_zone, machine.zone) || !spread_allows(job, in_zone, machine.zone))
            continue;
        if (originals && std::none_of(originals->begin(), originals->end(), [&](const auto& kept) {
                return kept.first == choice.machine;
            }))
            originals->push_back({choice.machine, machine});
        take(machine, job);
        ++in_zone[machine.zone];
        chosen.push_back(choice);
        if (const auto again = choose(choice.machine)) {
            heap.push_back(*again);
            std::push_heap(heap.begin(), heap.end(), later_one);
        }
    }
    return chosen;
}

// Binds a gang whole or not at all. With `one_zone`, each zone is tried and the one whose last
// task finishes first is taken.
std::vector<Choice> bind_gang(const EligibleJob& job, std::vector<Machine>& machines,
                              const std::vector<std::size_t>& open, Seconds cycle,
                              const Reservations& reserved) {
    std::optional<Seconds> best_finish;
    std::vector<Choice> best;
    const std::size_t tries = job.one_zone ? job.in_zone.size() : 1;
    for (std::size_t only = 0; only < tries; ++only) {
        if (job.one_zone && !zone_allows(job, job.in_zone, only)) continue;
        Originals originals;
        auto chosen = bind_tasks(job, machines, open, cycle, reserved,
                                 job.one_zone ? std::optional(only) : std::nullopt, &originals);
        for (auto& [m, original] : originals) machines[m] = std::move(original);
        if (chosen.size() != job.tasks) continue;
        Seconds last{0};
        for (const auto& choice : chosen) last = std::max(last, choice.finish);
        if (best_finish && last >= *best_finish) continue;
        best_finish = last;
        best = std::move(chosen);
    }
    for (const auto& choice : best) take(machines[choice.machine], job);
    return best;
}

// Guard against starving by size: a gang of many machines never found all of them free at once
// while smaller work took each as it opened. Its machines are those that open the earliest, in the
// zone where the last of them does; they are kept, but for work that ends before.
void reserve(const EligibleJob& job, const std::vector<Machine>& machines, Reservations& reserved) {
    std::vector<std::size_t> best;
    Seconds best_until = never;
    const std::size_t tries = job.one_zone ? job.in_zone.size() : 1;
    for (std::size_t only = 0; only < tries; ++only) {
        if (job.one_zone && !zone_allows(job, job.in_zone, only)) continue;
        std::vector<std::pair<Seconds, std::size_t>> opening;
        for (std::size_t m = 0; m < machines.size(); ++m) {
            if ((job.one_zone && machines[m].zone != only) || reserved.contains(m)) continue;
            if (!job.allows(machines[m], m)) continue;
            const auto opens = opens_in(machines[m], job.need);
            if (opens != never) opening.push_back({opens, m});
        }
        if (opening.size() < job.tasks) continue;
        std::nth_element(opening.begin(), opening.begin() + (job.tasks - 1), opening.end());
        const auto until = opening[job.tasks - 1].first;
        if (until >= best_until) continue;
        best_until = until;
        best.clear();
        for (std::size_t i = 0; i < job.tasks; ++i) best.push_back(opening[i].second);
    }
    for (const auto m : best) reserved[m] = best_until;
}

// What a cycle asks of each machine for each waiting job, kept close together: on a full day nearly
// all of them are ruled out by it, without a look at their releases.
struct Outline {
    Resources free;
    Seconds first_release = never;
    std::size_t machine = 0;
};

std::vector<Outline> outlines_of(const std::vector<Machine>& machines) {
    std::vector<Outline> out;
    out.reserve(machines.size());
    for (std::size_t m = 0; m < machines.size(); ++m) {
        const auto& releases = machines[m].releases;
        out.push_back({machines[m].free, releases.empty() ? never : releases.front().in, m});
    }
    std::sort(out.begin(), out.end(),
              [](const Outline& a, const Outline& b) { return a.first_release < b.first_release; });
    return out;
}

double fastest(const std::vector<Machine>& machines) {
    double speed = 0;
    for (const auto& machine : machines) speed = std::max(speed, machine.speed);
    return speed;
}

// RPM of an eligible job: wait, input and run time on the best candidate, plus the path behind.
// Where no candidate is known, the averages of all machines stand in: no wait, run time only.
// Machines come by their first release: once that alone is later than the best finish, only those
// where it fits now can still be better.
Seconds rpm_of(const EligibleJob& job, const std::vector<Machine>& machines,
               const std::vector<Outline>& outlines, double speed) {
    Seconds best = never;
    const auto least_run = speed > 0 ? job.run / speed : Seconds{0};
    for (const auto& outline : outlines) {
        const bool room = outline.free.holds(job.need);
        if (!room && (outline.first_release == never || outline.first_release + least_run >= best))
            continue;
        const auto& machine = machines[outline.machine];
        if (!job.allows(machine, outline.machine)) continue;
        best = std::min(best, finish_time(machine, job));
    }
    if (best == never) best = job.run;
    return best + job.rest_after;
}

}  // namespace

std::vector<Seconds> rest_paths(const std::vector<Seconds>& length,
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
        Seconds behind{0};
        for (const auto& [next, move] : successors[i]) behind = std::max(behind, move + rest[next]);
        rest[i] = length[i] + behind;
        for (const auto before : waits_on[i])
            if (--pending[before] == 0) ready.push_back(before);
    }
    return rest;
}

Seconds opens_in(const Machine& machine, const Resources& need) {
    Resources open = machine.free;
    if (open.holds(need)) return Seconds{0};
    for (const auto& release : machine.releases) {
        open += release.room;
        if (open.holds(need)) return release.in;
    }
    return never;
}

Seconds input_arrives(const Machine& machine, const EligibleJob& job) {
    if (job.image == 0) return Seconds{0};
    if (const auto* arrival = machine.image(job.image)) return *arrival;
    return machine.fetch_queue + Seconds(job.image_gb / machine.fetch_gb_per_s);
}

Seconds finish_time(const Machine& machine, const EligibleJob& job) {
    const auto opens = opens_in(machine, job.need);
    if (opens == never) return never;
    return std::max(opens, input_arrives(machine, job)) + job.run / machine.speed;
}

namespace {

// By pipeline and eligible job.
using RpmTable = std::vector<std::vector<Seconds>>;

// A pipeline's makespan is the longest RPM among its eligible jobs.
RpmTable rpm_table(const std::vector<Pipeline>& pipelines, const std::vector<Machine>& machines,
                   std::vector<Seconds>& makespan) {
    RpmTable rpm(pipelines.size());
    makespan.assign(pipelines.size(), Seconds{0});
    const auto outlines = outlines_of(machines);
    const auto speed = fastest(machines);
    for (std::size_t p = 0; p < pipelines.size(); ++p) {
        for (const auto& job : pipelines[p].eligible) {
            rpm[p].push_back(rpm_of(job, machines, outlines, speed));
            makespan[p] = std::max(makespan[p], rpm[p].back());
        }
        makespan[p] *= pipelines[p].stretch;
    }
    return rpm;
}

// By rank, then the shortest makespan first.
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

// A pipeline's jobs, the longest RPM first.
std::vector<std::size_t> job_order(const std::vector<Seconds>& rpm) {
    std::vector<std::size_t> jobs(rpm.size());
    std::iota(jobs.begin(), jobs.end(), std::size_t{0});
    std::stable_sort(jobs.begin(), jobs.end(),
                     [&](std::size_t a, std::size_t b) { return rpm[a] > rpm[b]; });
    return jobs;
}

// Less than this fits no waiting job.
Resources least_need(const std::vector<Pipeline>& pipelines) {
    constexpr auto most = std::numeric_limits<double>::max();
    Resources least{most, most, most};
    for (const auto& pipeline : pipelines)
        for (const auto& job : pipeline.eligible) {
            least.cpus = std::min(least.cpus, job.need.cpus);
            least.gpus = std::min(least.gpus, job.need.gpus);
            least.memory_gb = std::min(least.memory_gb, job.need.memory_gb);
        }
    return least;
}

// Only machines where something fits within the cycle are looked at for binds: on a full day that
// is a few of hundreds.
std::vector<std::size_t> machines_with_room(const std::vector<Machine>& machines,
                                            const Resources& least, Seconds cycle) {
    std::vector<std::size_t> open;
    for (std::size_t m = 0; m < machines.size(); ++m) {
        const auto& machine = machines[m];
        const bool soon = !machine.releases.empty() && machine.releases.front().in <= cycle;
        if (soon || machine.free.holds(least)) open.push_back(m);
    }
    return open;
}

}  // namespace

Result place(const std::vector<Pipeline>& pipelines, std::vector<Machine>& machines,
             Seconds cycle) {
    Result result;
    const auto rpm = rpm_table(pipelines, machines, result.makespan);
    result.order = pipeline_order(pipelines, result.makespan);
    const auto open = machines_with_room(machines, least_need(pipelines), cycle);
    Reservations reserved;
    for (const auto p : result.order) {
        const auto& pipeline = pipelines[p];
        for (const auto j : job_order(rpm[p])) {
            const auto& job = pipeline.eligible[j];
            const auto chosen =
                job.gang ? bind_gang(job, machines, open, cycle, reserved)
                         : bind_tasks(job, machines, open, cycle, reserved, std::nullopt, nullptr);
            if (chosen.empty() && job.gang && job.tasks > 0 && pipeline.reserves && !job.spread)
                reserve(job, machines, reserved);
            for (const auto& choice : chosen)
                result.binds.push_back(
                    Bind{p, job.job, choice.machine, choice.opens, rpm[p][j], result.makespan[p]});
        }
    }
    for (const auto& [machine, until] : reserved) result.reserved.push_back(machine);
    return result;
}

}  // namespace bendspindle::core::dsmf
