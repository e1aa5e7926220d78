#include "core/dsmf.hpp"

#include <gtest/gtest.h>

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
    j.rest_after = Seconds(rest);
    j.in_zone = {0};
    return j;
}

// The worked example of the paper (Figure 3): RPM(A2)=80, RPM(A3)=115, RPM(B2)=65, RPM(B3)=60,
// so the makespans are 115 and 65 and the order is B2, B3, A3, A2.
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

TEST(Dsmf, RestPathsFollowTheLongestWay) {
    // 0 -> 1 -> 3, 0 -> 2 -> 3
    const std::vector<Seconds> length{Seconds(1), Seconds(5), Seconds(2), Seconds(3)};
    const std::vector<std::vector<std::size_t>> waits_on{{}, {0}, {0}, {1, 2}};
    const std::vector<std::vector<Seconds>> transfer{
        {}, {Seconds(1)}, {Seconds(1)}, {Seconds(2), Seconds(10)}};
    const auto rest = rest_paths(length, waits_on, transfer);
    EXPECT_DOUBLE_EQ(rest[3].count(), 3);
    EXPECT_DOUBLE_EQ(rest[1].count(), 10);
    EXPECT_DOUBLE_EQ(rest[2].count(), 15);
    EXPECT_DOUBLE_EQ(rest[0].count(), 17);
}

TEST(Dsmf, EarliestFinishCountsInputAndSpeed) {
    std::vector<Pipeline> pipelines(1);
    auto j = job(0, 10);
    j.image = "img";
    j.image_gb = 30;
    pipelines[0].eligible = {j};
    std::vector<Machine> machines{machine(8), machine(8)};
    machines[0].speed = 1.1;
    machines[1].images["img"] = Seconds(0);
    const auto result = place(pipelines, machines, Seconds(2));
    ASSERT_EQ(result.binds.size(), 1U);
    EXPECT_EQ(result.binds[0].machine, 1U);
}

TEST(Dsmf, BindsOnlyWhereRoomOpensWithinOneCycle) {
    std::vector<Pipeline> pipelines(1);
    pipelines[0].eligible = {job(0, 10)};
    std::vector<Machine> machines{machine(0)};
    machines[0].releases = {{Seconds(2.5), {1, 0, 1}}};
    EXPECT_TRUE(place(pipelines, machines, Seconds(2)).binds.empty());
    machines[0].releases = {{Seconds(1.5), {1, 0, 1}}};
    EXPECT_EQ(place(pipelines, machines, Seconds(2)).binds.size(), 1U);
}

TEST(Dsmf, FetchTimeCountsForFinishNotForTheRoomTest) {
    std::vector<Pipeline> pipelines(1);
    auto j = job(0, 10);
    j.image = "img";
    j.image_gb = 100;
    pipelines[0].eligible = {j};
    std::vector<Machine> machines{machine(1)};
    EXPECT_EQ(place(pipelines, machines, Seconds(2)).binds.size(), 1U);
}

TEST(Dsmf, GangsBindWholeOrNotAtAll) {
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

TEST(Dsmf, OneZoneGangTakesAZoneThatHoldsAllOfIt) {
    std::vector<Pipeline> pipelines(1);
    auto j = job(0, 10, 0, 2);
    j.gang = true;
    j.one_zone = true;
    j.in_zone = {0, 0};
    pipelines[0].eligible = {j};
    std::vector<Machine> machines{machine(1), machine(1), machine(1)};
    machines[1].zone = machines[2].zone = 1;
    const auto result = place(pipelines, machines, Seconds(2));
    ASSERT_EQ(result.binds.size(), 2U);
    EXPECT_EQ(machines[result.binds[0].machine].zone, 1U);
    EXPECT_EQ(machines[result.binds[1].machine].zone, 1U);
}

TEST(Dsmf, SpreadKeepsHalfRoundedUpInAZone) {
    std::vector<Pipeline> pipelines(1);
    auto j = job(0, 10, 0, 5);
    j.spread = true;
    j.spread_of = 5;
    j.in_zone = {0, 0};
    pipelines[0].eligible = {j};
    std::vector<Machine> machines{machine(8)};
    EXPECT_EQ(place(pipelines, machines, Seconds(2)).binds.size(), 3U);
}

}  // namespace
}  // namespace bendspindle::core::dsmf
