// Floors and sharing: what must hold of them for any load.
#include <gtest/gtest.h>

#include <random>

#include "fair_share/makespan_stretch.hpp"
#include "fair_share/minimum_share.hpp"

namespace bendspindle::fair_share {
namespace {

using Seconds = std::chrono::duration<double>;

Holding waiting(std::string_view job_class, std::string_view team, double share, double waited) {
    return {job_class, team, 0, share, Seconds{waited}, false};
}
Holding running(std::string_view job_class, std::string_view team, double share) {
    return {job_class, team, share, 0, Seconds{0}, false};
}

TEST(Sharing, NothingIsStretchedWhereEverythingFits) {
    EXPECT_EQ(stretch({{10, 0.3}, {10, 0.2}, {11, 0.4}}, {{10, 0.1}}),
              (std::vector<double>{1, 1, 1}));
}

TEST(Sharing, AHugePipelineCountsAsLongAsItsEvenPartMakesIt) {
    // Four pipelines of one rank share all there is: a quarter each.
    const auto factors = stretch({{10, 2.0}, {10, 0.1}, {10, 0.25}, {10, 0.5}}, {});
    EXPECT_EQ(factors, (std::vector<double>{8, 1, 1, 2}));
}

TEST(Sharing, RanksBeforeTakeTheirPartFirst) {
    const auto factors = stretch({{10, 0.5}, {20, 0.5}, {20, 0.5}}, {{10, 0.25}});
    EXPECT_DOUBLE_EQ(factors[0], 1);
    EXPECT_DOUBLE_EQ(factors[1], 4);  // an eighth each of the quarter that is left
}

TEST(Sharing, ARankWithNothingLeftStillHasAnOrder) {
    const auto factors = stretch({{10, 5.0}, {20, 0.1}, {20, 0.2}}, {});
    EXPECT_GT(factors[2], factors[1]);
}

TEST(Floors, NobodyClaimsOneBeforeItsPatienceIsOver) {
    const FloorSettings settings;
    const auto floored = floors(
        {waiting("a", "t", 0.1, 59), running("b", "t", 1), waiting("b", "t", 1, 30)}, settings);
    EXPECT_EQ(floored.jobs, (std::vector<bool>{false, false, false}));
    EXPECT_TRUE(floored.behind_classes.empty());
}

TEST(Floors, AStarvingClassClaimsUpToItsFloorOldestFirst) {
    const auto floored = floors({waiting("a", "t", 0.2, 90), waiting("a", "t", 0.2, 80),
                                 waiting("a", "t", 0.2, 70), running("b", "t", 1)},
                                FloorSettings{});
    // Half of all for two classes: a quarter; the job that reaches it is taken whole.
    EXPECT_EQ(floored.jobs, (std::vector<bool>{true, true, false, false}));
    EXPECT_DOUBLE_EQ(floored.behind_classes.at("a"), 0.25);
}

TEST(Floors, WhatRunsCountsTowardsTheFloor) {
    const auto floored =
        floors({running("a", "t", 0.3), waiting("a", "t", 0.2, 80), running("b", "t", 0.7)},
               FloorSettings{});
    EXPECT_EQ(floored.jobs, (std::vector<bool>{false, false, false}));
    // While its class starves, that is not stopped for other classes.
    EXPECT_EQ(floored.class_shelters, (std::vector<bool>{true, false, false}));
}

TEST(Floors, WhatWasStartedUnderAFloorKeepsIt) {
    auto kept = running("a", "t", 0.2);
    kept.kept = true;
    const auto floored = floors({kept, running("b", "t", 0.8)}, FloorSettings{});
    EXPECT_EQ(floored.jobs, (std::vector<bool>{true, false}));
}

TEST(Floors, WeightsDecideAndNobodyIsOwedOneAlone) {
    FloorSettings settings;
    settings.class_weights["a"] = 3;
    const std::vector<Holding> both{waiting("a", "t", 0.3, 90), waiting("a", "t", 0.3, 90),
                                    running("b", "t", 1)};
    EXPECT_EQ(floors(both, settings).jobs, (std::vector<bool>{true, true, false}));
    EXPECT_EQ(floors({waiting("a", "t", 0.3, 90)}, settings).jobs, (std::vector<bool>{false}));
    settings.whole = 0;
    EXPECT_EQ(floors(both, settings).jobs, (std::vector<bool>{false, false, false}));
}

// The claims of docs/admission.md, for drawn loads: whoever starves is marked up to its floor or
// whole; and what is marked beyond the floors is one job for each class and team at most.
TEST(Floors, FillTheFloorOfWhoeverStarvesAndNoMore) {
    std::mt19937 draw(17);
    const auto below = [&](unsigned n) { return draw() % n; };
    const std::vector<std::string> classes{"a", "b", "c", "d"};
    const std::vector<std::string> teams{"red", "blue", "green"};
    for (int round = 0; round < 500; ++round) {
        std::vector<Holding> jobs(2 + below(60));
        double largest = 0;
        for (auto& job : jobs) {
            job = {classes[below(4)], teams[below(3)], 0, 0, Seconds{0}, false};
            (below(2) ? job.used : job.waiting) = (1 + below(100)) / 500.0;
            if (job.waiting > 0) job.waited = Seconds(below(150));
            job.kept = job.used > 0 && below(4) == 0;
            largest = std::max(largest, job.used + job.waiting);
        }
        const FloorSettings settings;
        const auto floored = floors(jobs, settings);
        double marked = 0;
        std::map<std::string_view, double> served;
        std::map<std::string_view, bool> left_out;
        std::map<std::string_view, int> parties;
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            const auto share = jobs[i].used + jobs[i].waiting;
            ++parties[jobs[i].job_class];
            if (floored.jobs[i]) marked += share;
            if (floored.jobs[i] || jobs[i].used > 0) served[jobs[i].job_class] += share;
            if (!floored.jobs[i] && jobs[i].waiting > 0 && jobs[i].waited >= settings.patience)
                left_out[jobs[i].job_class] = true;
        }
        if (parties.size() < 2) continue;
        for (const auto& [name, some] : left_out)
            EXPECT_GE(served[name] + 1e-9, settings.whole / static_cast<double>(parties.size()))
                << name;
        EXPECT_LE(marked, 2 * settings.whole + 7 * largest);
    }
}

}  // namespace
}  // namespace bendspindle::fair_share
