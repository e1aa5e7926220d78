#include "core/scheduling/dsmf.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <tuple>

namespace bendspindle::core::dsmf {
namespace {

Machine machine(double cpus) {
    Machine m;
    m.free = {cpus, 0, 100};
    return m;
}

EligibleJob job(std::size_t index, double run, double rest = 0, std::uint32_t tasks = 1) {
    EligibleJob j;
    j.job = index;
    j.tasks = tasks;
    j.need = {1, 0, 1};
    j.run = Seconds(run);
    j.rest_path_after = Seconds(rest);
    j.zones.tasks_in_zone = {0};
    return j;
}

// The worked example of the paper (Figure 3): RPM(A2)=80, RPM(A3)=115, RPM(B2)=65 and RPM(B3)=60.
// The makespans are therefore 115 and 65, and the order is B2, B3, A3, A2.
TEST(Dsmf, WorkedExampleOfThePaper) {
    enum { a2, a3, b2, b3 };
    std::vector<Pipeline> pipelines(2);
    pipelines[0].eligible = {job(a2, 30, 50), job(a3, 45, 70)};
    pipelines[1].eligible = {job(b2, 25, 40), job(b3, 20, 40)};
    std::vector<Machine> machines{machine(8), machine(8), machine(8)};
    const auto result = place(pipelines, machines, Seconds(2));
    EXPECT_DOUBLE_EQ(result.makespan[0].count(), 115);
    EXPECT_DOUBLE_EQ(result.makespan[1].count(), 65);
    ASSERT_EQ(result.binds.size(), 4U);
    EXPECT_EQ(result.binds[0].job, b2);
    EXPECT_EQ(result.binds[1].job, b3);
    EXPECT_EQ(result.binds[2].job, a3);
    EXPECT_EQ(result.binds[3].job, a2);
}

TEST(Dsmf, RestPathsFollowTheLongestPath) {
    // 0 -> 1 -> 3, 0 -> 2 -> 3
    const std::vector<Seconds> length{Seconds(1), Seconds(5), Seconds(2), Seconds(3)};
    const std::vector<std::vector<std::size_t>> waits_on{{}, {0}, {0}, {1, 2}};
    const std::vector<std::vector<Seconds>> transfer{
        {}, {Seconds(1)}, {Seconds(1)}, {Seconds(2), Seconds(10)}};
    const auto rest = rest_path_makespans(length, waits_on, transfer);
    EXPECT_DOUBLE_EQ(rest[3].count(), 3);
    EXPECT_DOUBLE_EQ(rest[1].count(), 10);
    EXPECT_DOUBLE_EQ(rest[2].count(), 15);
    EXPECT_DOUBLE_EQ(rest[0].count(), 17);
}

TEST(Dsmf, EarliestFinishIncludesImageFetchAndSpeed) {
    std::vector<Pipeline> pipelines(1);
    auto j = job(0, 10);
    j.image = image_id("img");
    j.image_gb = 30;
    pipelines[0].eligible = {j};
    std::vector<Machine> machines{machine(8), machine(8)};
    machines[0].speed = 1.1;
    machines[1].images = {{image_id("img"), Seconds(0)}};
    const auto result = place(pipelines, machines, Seconds(2));
    ASSERT_EQ(result.binds.size(), 1U);
    EXPECT_EQ(result.binds[0].machine, 1U);
}

TEST(Dsmf, BindsOnlyWhereResourcesAreAvailableWithinOneCycle) {
    std::vector<Pipeline> pipelines(1);
    pipelines[0].eligible = {job(0, 10)};
    std::vector<Machine> machines{machine(0)};
    machines[0].releases = {{Seconds(2.5), {1, 0, 1}}};
    EXPECT_TRUE(place(pipelines, machines, Seconds(2)).binds.empty());
    machines[0].releases = {{Seconds(1.5), {1, 0, 1}}};
    EXPECT_EQ(place(pipelines, machines, Seconds(2)).binds.size(), 1U);
}

TEST(Dsmf, FetchTimeAffectsFinishButNotAvailability) {
    std::vector<Pipeline> pipelines(1);
    auto j = job(0, 10);
    j.image = image_id("img");
    j.image_gb = 100;
    pipelines[0].eligible = {j};
    std::vector<Machine> machines{machine(1)};
    EXPECT_EQ(place(pipelines, machines, Seconds(2)).binds.size(), 1U);
}

TEST(Dsmf, GangsBindAllTasksOrNone) {
    std::vector<Pipeline> pipelines(1);
    auto j = job(0, 10, 0, 3);
    j.gang = true;
    pipelines[0].eligible = {j};
    std::vector<Machine> machines{machine(1), machine(1)};
    EXPECT_TRUE(place(pipelines, machines, Seconds(2)).binds.empty());
    EXPECT_DOUBLE_EQ(machines[0].free.cpus, 1);
    machines.push_back(machine(1));
    EXPECT_EQ(place(pipelines, machines, Seconds(2)).binds.size(), 3U);
}

// One machine for a task each in zone 0, and two in zone 1.
std::vector<Machine> machines_in_two_zones() {
    std::vector<Machine> machines{machine(1), machine(1), machine(1)};
    machines[1].zone = machines[2].zone = 1;
    return machines;
}

void expect_two_binds_in_zone_1(const Result& result, const std::vector<Machine>& machines) {
    ASSERT_EQ(result.binds.size(), 2U);
    EXPECT_EQ(machines[result.binds[0].machine].zone, 1U);
    EXPECT_EQ(machines[result.binds[1].machine].zone, 1U);
}

std::vector<Pipeline> one_zone_pipeline(std::uint32_t tasks, bool gang,
                                        const std::vector<std::uint32_t>& tasks_in_zone) {
    auto j = job(0, 10, 0, tasks);
    j.gang = gang;
    j.zones.one_zone = true;
    j.zones.tasks_in_zone = tasks_in_zone;
    return {Pipeline{0, {j}}};
}

TEST(Dsmf, OneZoneGangIsBoundInAZoneThatFitsAllTasks) {
    auto machines = machines_in_two_zones();
    const auto result = place(one_zone_pipeline(2, true, {0, 0}), machines, Seconds(2));
    expect_two_binds_in_zone_1(result, machines);
}

// Guards against left_waiting: the first task was bound where it finished earliest, and the others
// had to wait for room in that zone while another one had room for all.
TEST(Dsmf, OneZoneArrayIsBoundWhereMostOfItsTasksFit) {
    auto machines = machines_in_two_zones();
    machines[0].speed = 2;
    const auto result = place(one_zone_pipeline(3, false, {0, 0}), machines, Seconds(2));
    expect_two_binds_in_zone_1(result, machines);
}

TEST(Dsmf, OneZoneArrayStaysInTheZoneOfItsTasks) {
    auto machines = machines_in_two_zones();
    const auto result = place(one_zone_pipeline(2, false, {1, 0}), machines, Seconds(2));
    ASSERT_EQ(result.binds.size(), 1U);
    EXPECT_EQ(result.binds[0].machine, 0U);
}

TEST(Dsmf, SpreadLimitsAZoneToHalfOfTheTasksRoundedUp) {
    std::vector<Pipeline> pipelines(1);
    auto j = job(0, 10, 0, 5);
    j.zones.spread = true;
    j.zones.total_tasks = 5;
    j.zones.tasks_in_zone = {0, 0};
    pipelines[0].eligible = {j};
    std::vector<Machine> machines{machine(8)};
    EXPECT_EQ(place(pipelines, machines, Seconds(2)).binds.size(), 3U);
}

// Reference implementation of DSMF: examines every machine for every task and binds gangs
// tentatively on copies of all machines.
struct ReferencePlacement {
    std::vector<Machine>& machines;
    Seconds cycle;

    std::optional<std::size_t> find_best_machine(const EligibleJob& job,
                                                 std::optional<std::size_t> zone) const {
        std::optional<std::size_t> best;
        Seconds best_finish{0};
        for (std::size_t m = 0; m < machines.size(); ++m) {
            if (!job.allows(machines[m], m) || (zone && machines[m].zone != *zone)) continue;
            if (time_until_fit(machines[m], job.need) > cycle) continue;
            const auto finish = finish_time(machines[m], job);
            if (best && (finish > best_finish ||
                         (finish == best_finish && machines[m].cost >= machines[*best].cost)))
                continue;
            best = m;
            best_finish = finish;
        }
        return best;
    }
    // Allocates resources as `place` does, by placing this task on this machine alone.
    Seconds allocate(const EligibleJob& job, std::size_t m) {
        const auto finish = finish_time(machines[m], job);
        auto single_task = job;
        single_task.tasks = 1;
        single_task.gang = single_task.zones.one_zone = false;
        single_task.excluded_machines.clear();
        std::vector<Machine> single_machine{machines[m]};
        std::ignore = place({Pipeline{0, {single_task}}}, single_machine, cycle);
        machines[m] = single_machine[0];
        return finish;
    }
    std::vector<std::size_t> bind(const EligibleJob& job) {
        std::vector<std::size_t> best;
        std::optional<Seconds> best_last_finish;
        std::vector<Machine> best_machines = machines;
        const auto original_machines = machines;
        const std::size_t zones_to_try =
            job.gang && job.zones.one_zone ? job.zones.tasks_in_zone.size() : 1;
        for (std::size_t z = 0; z < zones_to_try; ++z) {
            machines = original_machines;
            std::vector<std::size_t> chosen;
            Seconds last_finish{0};
            while (chosen.size() < job.tasks) {
                const auto m =
                    find_best_machine(job, zones_to_try > 1 ? std::optional(z) : std::nullopt);
                if (!m) break;
                last_finish = std::max(last_finish, allocate(job, *m));
                chosen.push_back(*m);
            }
            if (job.gang && (chosen.size() != job.tasks ||
                             (best_last_finish && last_finish >= *best_last_finish)))
                continue;
            best_last_finish = last_finish;
            best = chosen;
            best_machines = machines;
        }
        machines = best_machines;
        return best;
    }
};

// `place` does not examine all machines for each task. Its decisions must equal those of the
// reference implementation, which does.
TEST(Dsmf, DecisionsEqualTheReferenceImplementation) {
    std::mt19937 random(7);
    const auto up_to = [&](int n) { return std::uniform_int_distribution<int>(0, n)(random); };
    for (int round = 0; round < 60; ++round) {
        std::vector<Machine> machines;
        for (int i = 0, n = 3 + up_to(37); i < n; ++i) {
            auto m = machine(up_to(8));
            m.zone = static_cast<std::size_t>(up_to(2));
            m.group = m.zone;
            m.cost = up_to(2);
            m.fetch_gb_per_s = 0.5;
            m.releases = {{Seconds(up_to(3)), {1.0 + up_to(3), 0, 4}}};
            if (up_to(1))
                m.images = {{image_id("img" + std::to_string(up_to(3))), Seconds(up_to(4))}};
            machines.push_back(m);
        }
        std::vector<Pipeline> pipelines;
        for (std::size_t i = 0, n = 1 + static_cast<std::size_t>(up_to(9)); i < n; ++i) {
            auto j = job(i, 5 + up_to(50), 0, 1 + static_cast<std::uint32_t>(up_to(11)));
            j.need = {1.0 + up_to(2), 0, 1};
            j.gang = up_to(1) == 1;
            j.zones.one_zone = j.gang && up_to(1) == 1;
            j.zones.tasks_in_zone = {0, 0, 0};
            j.image = image_id("img" + std::to_string(up_to(3)));
            j.image_gb = 1 + up_to(5);
            j.groups = {true, up_to(3) > 0, up_to(3) > 0};
            if (up_to(3) == 0) j.excluded_machines = {0, 2};
            pipelines.push_back({up_to(1), {j}});
        }
        auto reference_machines = machines;
        const auto result = place(pipelines, machines, Seconds(2));
        ReferencePlacement reference{reference_machines, Seconds(2)};
        std::size_t next_bind = 0;
        for (const auto p : result.order)
            for (const auto expected : reference.bind(pipelines[p].eligible[0])) {
                ASSERT_LT(next_bind, result.binds.size());
                EXPECT_EQ(result.binds[next_bind].pipeline, p);
                EXPECT_EQ(result.binds[next_bind].machine, expected) << "round " << round;
                ++next_bind;
            }
        EXPECT_EQ(next_bind, result.binds.size());
    }
}

}  // namespace
}  // namespace bendspindle::core::dsmf
