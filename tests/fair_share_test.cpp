// Tests of the fair-share minimums and the makespan stretch factors, including invariants that must
// hold for any load.
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

TEST(MakespanStretch, FactorsAreOneWhenEverythingFits) {
    EXPECT_EQ(compute_stretch_factors({{10, 0.3}, {10, 0.2}, {11, 0.4}}, {{10, 0.1}}),
              (std::vector<double>{1, 1, 1}));
}

TEST(MakespanStretch, LargePipelineIsStretchedByItsExcessOverAnEqualShare) {
    // Four pipelines of one rank share all machines: a quarter each.
    const auto factors = compute_stretch_factors({{10, 2.0}, {10, 0.1}, {10, 0.25}, {10, 0.5}}, {});
    EXPECT_EQ(factors, (std::vector<double>{8, 1, 1, 2}));
}

TEST(MakespanStretch, EarlierRanksReduceTheRemainingShare) {
    const auto factors = compute_stretch_factors({{10, 0.5}, {20, 0.5}, {20, 0.5}}, {{10, 0.25}});
    EXPECT_DOUBLE_EQ(factors[0], 1);
    EXPECT_DOUBLE_EQ(factors[1], 4);  // an equal share is an eighth: a quarter remains for two
}

TEST(MakespanStretch, RankWithoutRemainingShareIsStillOrdered) {
    const auto factors = compute_stretch_factors({{10, 5.0}, {20, 0.1}, {20, 0.2}}, {});
    EXPECT_GT(factors[2], factors[1]);
}

TEST(MinimumShare, NoJobIsSelectedBeforeTheStarvationTimeout) {
    const FairShareSettings settings;
    const auto shares = assign_minimum_shares(
        {waiting("a", "t", 0.1, 59), running("b", "t", 1), waiting("b", "t", 1, 30)}, settings);
    EXPECT_EQ(shares.under_minimum_share, (std::vector<bool>{false, false, false}));
    EXPECT_TRUE(shares.class_deficits.empty());
}

TEST(MinimumShare, StarvingClassIsSelectedOldestFirstUpToItsMinimum) {
    const auto shares =
        assign_minimum_shares({waiting("a", "t", 0.2, 90), waiting("a", "t", 0.2, 80),
                               waiting("a", "t", 0.2, 70), running("b", "t", 1)},
                              FairShareSettings{});
    // The two classes share half of the machines, so that each minimum is a quarter. The job that
    // reaches the minimum is selected whole.
    EXPECT_EQ(shares.under_minimum_share, (std::vector<bool>{true, true, false, false}));
    EXPECT_DOUBLE_EQ(shares.class_deficits.at("a"), 0.25);
}

TEST(MinimumShare, RunningWorkCountsTowardsTheMinimum) {
    const auto shares = assign_minimum_shares(
        {running("a", "t", 0.3), waiting("a", "t", 0.2, 80), running("b", "t", 0.7)},
        FairShareSettings{});
    EXPECT_EQ(shares.under_minimum_share, (std::vector<bool>{false, false, false}));
    // Running work of a starving class is not preempted for other classes.
    EXPECT_EQ(shares.class_protected, (std::vector<bool>{true, false, false}));
}

TEST(MinimumShare, JobStartedUnderAMinimumStaysSelected) {
    auto started = running("a", "t", 0.2);
    started.started_under_minimum_share = true;
    const auto shares =
        assign_minimum_shares({started, running("b", "t", 0.8)}, FairShareSettings{});
    EXPECT_EQ(shares.under_minimum_share, (std::vector<bool>{true, false}));
}

TEST(MinimumShare, MinimumsFollowWeightsAndASingleClassHasNone) {
    FairShareSettings settings;
    settings.class_weights["a"] = 3;
    const std::vector<JobShare> both{waiting("a", "t", 0.3, 90), waiting("a", "t", 0.3, 90),
                                     running("b", "t", 1)};
    EXPECT_EQ(assign_minimum_shares(both, settings).under_minimum_share,
              (std::vector<bool>{true, true, false}));
    EXPECT_EQ(assign_minimum_shares({waiting("a", "t", 0.3, 90)}, settings).under_minimum_share,
              (std::vector<bool>{false}));
    settings.total_share = 0;
    EXPECT_EQ(assign_minimum_shares(both, settings).under_minimum_share,
              (std::vector<bool>{false, false, false}));
}

// Checks the invariants of docs/fair-share.md under random loads: the waiting jobs of a starving
// class are selected until its minimum is filled, and at most one job for each class and team is
// selected beyond the minimums.
TEST(MinimumShare, FillsTheMinimumsOfStarvingClassesAndNoMore) {
    std::mt19937 random(17);
    const auto below = [&](unsigned n) { return random() % n; };
    const std::vector<std::string> classes{"a", "b", "c", "d"};
    const std::vector<std::string> teams{"red", "blue", "green"};
    for (int round = 0; round < 500; ++round) {
        std::vector<JobShare> jobs(2 + below(60));
        double largest = 0;
        for (auto& job : jobs) {
            job = {classes[below(4)], teams[below(3)], 0, 0, Seconds{0}, false};
            (below(2) ? job.used : job.waiting) = (1 + below(100)) / 500.0;
            if (job.waiting > 0) job.waited = Seconds(below(150));
            job.started_under_minimum_share = job.used > 0 && below(4) == 0;
            largest = std::max(largest, job.used + job.waiting);
        }
        const FairShareSettings settings;
        const auto shares = assign_minimum_shares(jobs, settings);
        double selected = 0;
        std::map<std::string_view, double> served;
        std::map<std::string_view, bool> has_unselected_job;
        std::map<std::string_view, int> class_sizes;
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            const auto share = jobs[i].used + jobs[i].waiting;
            ++class_sizes[jobs[i].job_class];
            if (shares.under_minimum_share[i]) selected += share;
            if (shares.under_minimum_share[i] || jobs[i].used > 0)
                served[jobs[i].job_class] += share;
            if (!shares.under_minimum_share[i] && jobs[i].waiting > 0 &&
                jobs[i].waited >= settings.starvation_timeout)
                has_unselected_job[jobs[i].job_class] = true;
        }
        if (class_sizes.size() < 2) continue;
        for (const auto& [name, unselected] : has_unselected_job)
            EXPECT_GE(served[name] + 1e-9,
                      settings.total_share / static_cast<double>(class_sizes.size()))
                << name;
        EXPECT_LE(selected, 2 * settings.total_share + 7 * largest);
    }
}

}  // namespace
}  // namespace bendspindle::fair_share
