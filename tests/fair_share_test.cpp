// Fair-share minimums and stretched makespans: what must hold of them for any load.
#include <gtest/gtest.h>

#include <random>

#include "fair_share/makespan_stretch.hpp"
#include "fair_share/minimum_share.hpp"

namespace bendspindle::fair_share {
namespace {

using Seconds = std::chrono::duration<double>;

JobShare waiting(std::string_view job_class, std::string_view team, double share, double waited) {
    return {job_class, team, 0, share, Seconds{waited}, false};
}
JobShare running(std::string_view job_class, std::string_view team, double share) {
    return {job_class, team, share, 0, Seconds{0}, false};
}

TEST(MakespanStretch, NothingIsStretchedWhereEverythingFits) {
    EXPECT_EQ(stretch({{10, 0.3}, {10, 0.2}, {11, 0.4}}, {{10, 0.1}}),
              (std::vector<double>{1, 1, 1}));
}

TEST(MakespanStretch, AHugePipelineCountsAsLongAsItsEvenPartMakesIt) {
    // Four pipelines of one rank share all there is: a quarter each.
    const auto factors = stretch({{10, 2.0}, {10, 0.1}, {10, 0.25}, {10, 0.5}}, {});
    EXPECT_EQ(factors, (std::vector<double>{8, 1, 1, 2}));
}

TEST(MakespanStretch, RanksBeforeTakeTheirPartFirst) {
    const auto factors = stretch({{10, 0.5}, {20, 0.5}, {20, 0.5}}, {{10, 0.25}});
    EXPECT_DOUBLE_EQ(factors[0], 1);
    EXPECT_DOUBLE_EQ(factors[1], 4);  // an eighth each of the quarter that is left
}

TEST(MakespanStretch, ARankWithNothingLeftStillHasAnOrder) {
    const auto factors = stretch({{10, 5.0}, {20, 0.1}, {20, 0.2}}, {});
    EXPECT_GT(factors[2], factors[1]);
}

TEST(MinimumShare, NobodyGoesFirstBeforeTheStarvationTimeout) {
    const FairShareSettings settings;
    const auto shares = assign_minimum_shares(
        {waiting("a", "t", 0.1, 59), running("b", "t", 1), waiting("b", "t", 1, 30)}, settings);
    EXPECT_EQ(shares.jobs, (std::vector<bool>{false, false, false}));
    EXPECT_TRUE(shares.behind_classes.empty());
}

TEST(MinimumShare, AStarvingClassGoesFirstUpToItsMinimumOldestFirst) {
    const auto shares =
        assign_minimum_shares({waiting("a", "t", 0.2, 90), waiting("a", "t", 0.2, 80),
                               waiting("a", "t", 0.2, 70), running("b", "t", 1)},
                              FairShareSettings{});
    // Half of all for two classes: a quarter; the job that reaches it is taken whole.
    EXPECT_EQ(shares.jobs, (std::vector<bool>{true, true, false, false}));
    EXPECT_DOUBLE_EQ(shares.behind_classes.at("a"), 0.25);
}

TEST(MinimumShare, WhatRunsCountsTowardsTheMinimum) {
    const auto shares = assign_minimum_shares(
        {running("a", "t", 0.3), waiting("a", "t", 0.2, 80), running("b", "t", 0.7)},
        FairShareSettings{});
    EXPECT_EQ(shares.jobs, (std::vector<bool>{false, false, false}));
    // While its class starves, that is not preempted for other classes.
    EXPECT_EQ(shares.class_protected, (std::vector<bool>{true, false, false}));
}

TEST(MinimumShare, WhatWasStartedWithinAMinimumKeepsItsProtection) {
    auto kept = running("a", "t", 0.2);
    kept.kept = true;
    const auto shares = assign_minimum_shares({kept, running("b", "t", 0.8)}, FairShareSettings{});
    EXPECT_EQ(shares.jobs, (std::vector<bool>{true, false}));
}

TEST(MinimumShare, WeightsDecideAndOneAloneHasNone) {
    FairShareSettings settings;
    settings.class_weights["a"] = 3;
    const std::vector<JobShare> both{waiting("a", "t", 0.3, 90), waiting("a", "t", 0.3, 90),
                                     running("b", "t", 1)};
    EXPECT_EQ(assign_minimum_shares(both, settings).jobs, (std::vector<bool>{true, true, false}));
    EXPECT_EQ(assign_minimum_shares({waiting("a", "t", 0.3, 90)}, settings).jobs,
              (std::vector<bool>{false}));
    settings.total_share = 0;
    EXPECT_EQ(assign_minimum_shares(both, settings).jobs, (std::vector<bool>{false, false, false}));
}

// The claims of docs/fair-share.md, for random loads: whoever starves is marked up to its minimum
// or whole; and what is marked beyond the minimums is one job for each class and team at most.
TEST(MinimumShare, FillsTheMinimumOfWhoeverStarvesAndNoMore) {
    std::mt19937 draw(17);
    const auto below = [&](unsigned n) { return draw() % n; };
    const std::vector<std::string> classes{"a", "b", "c", "d"};
    const std::vector<std::string> teams{"red", "blue", "green"};
    for (int round = 0; round < 500; ++round) {
        std::vector<JobShare> jobs(2 + below(60));
        double largest = 0;
        for (auto& job : jobs) {
            job = {classes[below(4)], teams[below(3)], 0, 0, Seconds{0}, false};
            (below(2) ? job.used : job.waiting) = (1 + below(100)) / 500.0;
            if (job.waiting > 0) job.waited = Seconds(below(150));
            job.kept = job.used > 0 && below(4) == 0;
            largest = std::max(largest, job.used + job.waiting);
        }
        const FairShareSettings settings;
        const auto shares = assign_minimum_shares(jobs, settings);
        double marked = 0;
        std::map<std::string_view, double> served;
        std::map<std::string_view, bool> left_out;
        std::map<std::string_view, int> parties;
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            const auto share = jobs[i].used + jobs[i].waiting;
            ++parties[jobs[i].job_class];
            if (shares.jobs[i]) marked += share;
            if (shares.jobs[i] || jobs[i].used > 0) served[jobs[i].job_class] += share;
            if (!shares.jobs[i] && jobs[i].waiting > 0 &&
                jobs[i].waited >= settings.starvation_timeout)
                left_out[jobs[i].job_class] = true;
        }
        if (parties.size() < 2) continue;
        for (const auto& [name, some] : left_out)
            EXPECT_GE(served[name] + 1e-9,
                      settings.total_share / static_cast<double>(parties.size()))
                << name;
        EXPECT_LE(marked, 2 * settings.total_share + 7 * largest);
    }
}

}  // namespace
}  // namespace bendspindle::fair_share
