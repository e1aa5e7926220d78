// Agents on their way to the leader: when a follower redirects them or forwards their heartbeats,
// and when the leader is unreachable for them.
#include "agents/heartbeat_routing.hpp"

#include <gtest/gtest.h>

#include "api/token_bucket.hpp"

namespace bendspindle::agents {
namespace {

using namespace std::chrono_literals;
const core::TimePoint start{std::chrono::hours(1)};

TEST(HeartbeatRouting, AnAgentThatDoesNotKnowTheLeaderIsRedirectedAtOnce) {
    HeartbeatRouting routing(2s);
    EXPECT_TRUE(routing.should_redirect("m1", false, start));
}

// An agent that comes although it knows the leader cannot reach it. Its heartbeat is forwarded
// first, so that its lease outlives the attempt to reach the leader again.
TEST(HeartbeatRouting, AnAgentThatKnowsTheLeaderIsForwardedFirstAndRedirectedOnce) {
    HeartbeatRouting routing(2s);
    EXPECT_FALSE(routing.should_redirect("m1", true, start));
    EXPECT_FALSE(routing.should_redirect("m1", true, start + 2s));
    EXPECT_TRUE(routing.should_redirect("m1", true, start + 6s));
    // Back: it could not reach the leader.
    EXPECT_FALSE(routing.should_redirect("m1", true, start + 12s));
    EXPECT_FALSE(routing.should_redirect("m1", true, start + 24s));
    EXPECT_FALSE(routing.should_redirect("m1", true, start + 36s));
    EXPECT_TRUE(routing.should_redirect("m1", true, start + 46s));
    // After a long absence it counts as new.
    EXPECT_FALSE(routing.should_redirect("m1", true, start + 90s));
}

TEST(LeaderReachability, IsLostWhenAgentsComeThroughPeersOnly) {
    LeaderReachability reachability(2s);
    reachability.begin(start);
    reachability.record_heartbeat("m1", RequestOrigin::client, start + 1s);
    for (const auto* agent : {"m1", "m2", "m3"})
        reachability.record_heartbeat(agent, RequestOrigin::peer, start + 3s);
    EXPECT_FALSE(reachability.inbound_unreachable(start + 4s));  // too soon to tell
    EXPECT_TRUE(reachability.inbound_unreachable(start + 6s));
    reachability.record_heartbeat("m4", RequestOrigin::client, start + 6s);
    EXPECT_FALSE(
        reachability.inbound_unreachable(start + 11s));  // one came by itself, and no others since
}

TEST(LeaderReachability, IsNotLostWithoutAnyAgentOrBeforeTheFirst) {
    LeaderReachability reachability(2s);
    reachability.begin(start);
    EXPECT_FALSE(reachability.inbound_unreachable(start + 60s));
    // No agent has come by itself yet: it is not known that they ever could.
    for (const auto* agent : {"m1", "m2", "m3"})
        reachability.record_heartbeat(agent, RequestOrigin::peer, start + 61s);
    EXPECT_FALSE(reachability.inbound_unreachable(start + 90s));
}

TEST(TokenBucket, AllowsItsRateAndABurstOfOneSecond) {
    api::TokenBucket bucket(10, 1s);
    int taken = 0;
    for (int i = 0; i < 100; ++i) taken += bucket.try_take(start);
    EXPECT_EQ(taken, 10);
    for (int i = 1; i <= 100; ++i) taken += bucket.try_take(start + i * 10ms);
    EXPECT_NEAR(taken, 20, 1);
    for (int i = 0; i < 100; ++i) taken += bucket.try_take(start + 1h);
    EXPECT_NEAR(taken, 30, 1);
}

}  // namespace
}  // namespace bendspindle::agents
