// Tests when a follower redirects an agent to the leader or forwards its heartbeat, and when the
// leader counts as unreachable for agents.
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

// An agent that sends its heartbeats to a follower although it has the current fencing token cannot
// reach the leader. Its heartbeats are forwarded first, so that its lease does not expire during
// the next attempt to reach the leader.
TEST(HeartbeatRouting, AnAgentThatKnowsTheLeaderIsForwardedFirstAndRedirectedOnce) {
    HeartbeatRouting routing(2s);
    EXPECT_FALSE(routing.should_redirect("m1", true, start));
    EXPECT_FALSE(routing.should_redirect("m1", true, start + 2s));
    EXPECT_TRUE(routing.should_redirect("m1", true, start + 6s));
    // The agent returns because it could not reach the leader.
    EXPECT_FALSE(routing.should_redirect("m1", true, start + 12s));
    EXPECT_FALSE(routing.should_redirect("m1", true, start + 24s));
    EXPECT_FALSE(routing.should_redirect("m1", true, start + 36s));
    EXPECT_TRUE(routing.should_redirect("m1", true, start + 46s));
    // After a long gap the agent counts as new.
    EXPECT_FALSE(routing.should_redirect("m1", true, start + 90s));
}

TEST(LeaderReachability, IsUnreachableWhenHeartbeatsComeThroughPeersOnly) {
    LeaderReachability reachability(2s);
    reachability.reset(start);
    reachability.record_heartbeat("m1", RequestOrigin::client, start + 1s);
    for (const auto* agent : {"m1", "m2", "m3"})
        reachability.record_heartbeat(agent, RequestOrigin::peer, start + 3s);
    EXPECT_FALSE(reachability.inbound_unreachable(start + 4s));  // not silent for long enough yet
    EXPECT_TRUE(reachability.inbound_unreachable(start + 6s));
    reachability.record_heartbeat("m4", RequestOrigin::client, start + 6s);
    EXPECT_FALSE(reachability.inbound_unreachable(
        start + 11s));  // m4 came directly; no forwarded heartbeats since
}

TEST(LeaderReachability, IsNotUnreachableBeforeTheFirstDirectHeartbeat) {
    LeaderReachability reachability(2s);
    reachability.reset(start);
    EXPECT_FALSE(reachability.inbound_unreachable(start + 60s));
    // No direct heartbeat yet, so agents may never have been able to reach this controller.
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
