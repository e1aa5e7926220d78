#include "core/dsmf.hpp"

#include <algorithm>
#include <limits>
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
    Resources missing = job.need;
    std::size_t used = 0;
    while (!open.holds(missing) && used < machine.releases.size())
        open += machine.releases[used++].room;
    // Room that opens later is spent by this bind, so the releases that make it are folded in.
    machine.releases.erase(machine.releases.begin(),
                           machine.releases.begin() + static_cast<std::ptrdiff_t>(used));
    machine.free = open - job.need;
    if (job.image.empty() || machine.images.contains(job.image)) return;
    machine.fetch_queue = input_arrives(machine, job);
    machine.images[job.image] = machine.fetch_queue;
}

struct Choice {
    std::size_t machine = 0;
    Seconds finish{0};
    Seconds opens{0};
};

std::optional<Choice> earliest_finish(const EligibleJob& job, const std::vector<Machine>& machines,
                                      const std::vector<std::uint32_t>& in_zone, Seconds cycle) {
    std::optional<Choice> best;
    for (std::size_t m = 0; m < machines.size(); ++m) {
        if (job.allowed && !job.allowed(m)) continue;
        const auto& machine = machines[m];
        if (!zone_allows(job, in_zone, machine.zone) || !spread_allows(job, in_zone, machine.zone))
            continue;
        const auto opens = opens_in(machine, job.need);
        if (opens > cycle) continue;
        const auto finish =
            std::max(opens, input_arrives(machine, job)) + job.run / machine.speed;
        const bool better =
            !best || finish < best->finish ||
            (finish == best->finish && machine.cost < machines[best->machine].cost);
        if (better) best = Choice{m, finish, opens};
    }
    return best;
}

// Binds a gang whole or not at all. With `one_zone`, each zone is tried and the one whose last
// task finishes first is taken.
bool bind_gang(const EligibleJob& job, std::vector<Machine>& machines, Seconds cycle,
               std::vector<Choice>& out) {
    const std::size_t zones = job.in_zone.size();
    std::optional<Seconds> best_finish;
    std::vector<Machine> best_machines;
    std::vector<Choice> best;
    const std::size_t tries = job.one_zone ? zones : 1;
    for (std::size_t only = 0; only < tries; ++only) {
        auto in_zone = job.in_zone;
        if (job.one_zone && !zone_allows(job, in_zone, only)) continue;
        auto trial = machines;
        EligibleJob one = job;
        if (job.one_zone)
            one.allowed = [&](std::size_t m) {
                return machines[m].zone == only && (!job.allowed || job.allowed(m));
            };
        std::vector<Choice> chosen;
        Seconds last{0};
        for (std::uint32_t t = 0; t < job.tasks; ++t) {
            const auto choice = earliest_finish(one, trial, in_zone, cycle);
            if (!choice) break;
            take(trial[choice->machine], job);
            ++in_zone[trial[choice->machine].zone];
            last = std::max(last, choice->finish);
            chosen.push_back(*choice);
        }
        if (chosen.size() != job.tasks) continue;
        if (best_finish && last >= *best_finish) continue;
        best_finish = last;
        best = std::move(chosen);
        best_machines = std::move(trial);
    }
    if (!best_finish) return false;
    machines = std::move(best_machines);
    out = std::move(best);
    return true;
}

// RPM of an eligible job: wait, input and run time on the best candidate, plus the path behind.
// Where no candidate is known, the fleet's averages stand in: no wait, run time only.
Seconds rpm_of(const EligibleJob& job, const std::vector<Machine>& machines) {
    Seconds best = never;
    for (std::size_t m = 0; m < machines.size(); ++m) {
        if (job.allowed && !job.allowed(m)) continue;
        best = std::min(best, finish_time(machines[m], job));
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
    if (const auto it = machine.images.find(job.image); it != machine.images.end())
        return it->second;
    return machine.fetch_queue + Seconds(job.image_gb / machine.fetch_gb_per_s);
}

Seconds finish_time(const Machine& machine, const EligibleJob& job) {
    const auto opens = opens_in(machine, job.need);
    if (opens == never) return never;
    return std::max(opens, input_arrives(machine, job)) + job.run / machine.speed;
}

Result place(const std::vector<Pipeline>& pipelines, std::vector<Machine>& machines,
             Seconds cycle) {
    Result result;
    std::vector<std::vector<Seconds>> rpm(pipelines.size());
    result.makespan.assign(pipelines.size(), Seconds{0});
    for (std::size_t p = 0; p < pipelines.size(); ++p)
        for (const auto& job : pipelines[p].eligible) {
            rpm[p].push_back(rpm_of(job, machines));
            result.makespan[p] = std::max(result.makespan[p], rpm[p].back());
        }

    result.order.resize(pipelines.size());
    std::iota(result.order.begin(), result.order.end(), std::size_t{0});
    std::stable_sort(result.order.begin(), result.order.end(), [&](std::size_t a, std::size_t b) {
        if (pipelines[a].rank != pipelines[b].rank) return pipelines[a].rank < pipelines[b].rank;
        return result.makespan[a] < result.makespan[b];
    });

    for (const auto p : result.order) {
        const auto& pipeline = pipelines[p];
        std::vector<std::size_t> jobs(pipeline.eligible.size());
        std::iota(jobs.begin(), jobs.end(), std::size_t{0});
        std::stable_sort(jobs.begin(), jobs.end(),
                         [&](std::size_t a, std::size_t b) { return rpm[p][a] > rpm[p][b]; });
        for (const auto j : jobs) {
            const auto& job = pipeline.eligible[j];
            std::vector<Choice> chosen;
            if (job.gang) {
                if (!bind_gang(job, machines, cycle, chosen)) continue;
            } else {
                auto in_zone = job.in_zone;
                for (std::uint32_t t = 0; t < job.tasks; ++t) {
                    const auto choice = earliest_finish(job, machines, in_zone, cycle);
                    if (!choice) break;
                    take(machines[choice->machine], job);
                    ++in_zone[machines[choice->machine].zone];
                    chosen.push_back(*choice);
                }
            }
            for (const auto& choice : chosen)
                result.binds.push_back(Bind{p, job.job, choice.machine, choice.opens, rpm[p][j],
                                            result.makespan[p]});
        }
    }
    return result;
}

}  // namespace bendspindle::core::dsmf
