// Workers on their way to the acting controller: sent there, handed on, and when the acting one is
// better off giving way.
#include "agents/heartbeat_routing.hpp"

#include <gtest/gtest.h>

#include "api/token_bucket.hpp"

namespace bendspindle::agents {
namespace {

using namespace std::chrono_literals;
const core::TimePoint start{std::chrono::hours(1)};

TEST(HeartbeatRouting, AWorkerThatDoesNotKnowWhoActsIsSentThereAtOnce) {
    HeartbeatRouting visits(2s);
    EXPECT_TRUE(visits.send_there("m1", false, start));
}

// Guard: one that comes although it knows who acts has lost the way. Its report is handed on first,
// so that its lease outlives the attempt to go there again.
TEST(HeartbeatRouting, AWorkerThatKnowsIsHandedOnFirstAndSentThereOnce) {
    HeartbeatRouting visits(2s);
    EXPECT_FALSE(visits.send_there("m1", true, start));
    EXPECT_FALSE(visits.send_there("m1", true, start + 2s));
    EXPECT_TRUE(visits.send_there("m1", true, start + 6s));
    // Back: the way there is closed.
    EXPECT_FALSE(visits.send_there("m1", true, start + 12s));
    EXPECT_FALSE(visits.send_there("m1", true, start + 24s));
    EXPECT_FALSE(visits.send_there("m1", true, start + 36s));
    EXPECT_TRUE(visits.send_there("m1", true, start + 46s));
    // Away for long, it begins anew.
    EXPECT_FALSE(visits.send_there("m1", true, start + 90s));
}

TEST(LeaderReachability, IsLostWhenWorkersComeThroughSiblingsOnly) {
    LeaderReachability reach(2s);
    reach.begin(start);
    reach.record_heartbeat("m1", false, start + 1s);
    for (const auto* worker : {"m1", "m2", "m3"}) reach.record_heartbeat(worker, true, start + 3s);
    EXPECT_FALSE(reach.lost(start + 4s));  // too soon to tell
    EXPECT_TRUE(reach.lost(start + 6s));
    reach.record_heartbeat("m4", false, start + 6s);
    EXPECT_FALSE(reach.lost(start + 11s));  // one came by itself, and no others since
}

TEST(LeaderReachability, IsNotLostWithoutAnyWorkerOrBeforeTheFirst) {
    LeaderReachability reach(2s);
    reach.begin(start);
    EXPECT_FALSE(reach.lost(start + 60s));
    // Nobody has come by itself yet: this one never had a way to them, nor is known to lack it.
    for (const auto* worker : {"m1", "m2", "m3"}) reach.record_heartbeat(worker, true, start + 61s);
    EXPECT_FALSE(reach.lost(start + 90s));
}

TEST(TokenBucket, GivesARateAndASecondsWorthAtOnce) {
    api::TokenBucket allowance(10, 1s);
    int taken = 0;
    for (int i = 0; i < 100; ++i) taken += allowance.take(start);
    EXPECT_EQ(taken, 10);
    for (int i = 1; i <= 100; ++i) taken += allowance.take(start + i * 10ms);
    EXPECT_NEAR(taken, 20, 1);
    for (int i = 0; i < 100; ++i) taken += allowance.take(start + 1h);
    EXPECT_NEAR(taken, 30, 1);
}

}  // namespace
}  // namespace bendspindle::agents
