// Tests the election against a stand-in for the key-value store, with incarnations of one
// controller that follow each other immediately, overlap or keep restarting. Each incarnation is
// one `LeaderElector`; an incarnation whose `run_once` is no longer called has ended or is stalled.
#include "leadership/leader_elector.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include "standin/services.hpp"
#include "state/http_key_value_store.hpp"

namespace bendspindle::leadership {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

class LeaderElectorRestart : public testing::Test {
  protected:
    LeaderElectorRestart()
        : port_(11'000 + static_cast<int>(::getpid() % 1000)),
          service_(port_),
          store_({"127.0.0.1", port_}) {}

    std::unique_ptr<LeaderElector> incarnation(const std::string& name, core::Seconds lease = 60s) {
        return std::make_unique<LeaderElector>(
            store_, name, lease,
            LeaderElector::Events{[](std::uint64_t, std::uint64_t) {}, [this] { ++deposed_; }});
    }
    // Returns an incarnation that has completed its first round.
    std::unique_ptr<LeaderElector> started(const std::string& name, core::Seconds lease = 60s) {
        auto out = incarnation(name, lease);
        out->run_once();
        return out;
    }
    std::uint32_t recorded_restarts() {
        return wire::parse_leadership_record(store_.get("view").entry.value)->consecutive_restarts;
    }

    int port_;
    standin::StateService service_;
    state::HttpKeyValueStore store_;
    int deposed_ = 0;
};

// Controllers of other versions read the same keys in the key-value store, so their names and
// fields must not change, nor which of them expire with the leader's lease.
TEST_F(LeaderElectorRestart, TheKeysOfALeaderKeepTheirNamesAndFields) {
    const auto leader = started("a");
    ASSERT_TRUE(leader->status().leading);
    const auto leader_key = store_.get("steward").entry;
    const auto own = store_.get("controller/a").entry;
    const auto view = store_.get("view").entry;
    EXPECT_EQ(leader_key.value,
              (wire::Value{{"name", "a"}, {"incarnation", own.value["incarnation"]}}));
    EXPECT_EQ(own.value.size(), 1U);
    EXPECT_FALSE(own.value["incarnation"].is_null());
    EXPECT_EQ(view.value, (wire::Value{{"epoch", 1}, {"steward", "a"}, {"returns", 0}}));
    EXPECT_NE(leader_key.lease, 0U);
    EXPECT_EQ(own.lease, leader_key.lease);
    EXPECT_EQ(view.lease, 0U);
}

TEST_F(LeaderElectorRestart, ARestartedLeaderReclaimsTheLeadershipAtOnce) {
    const auto first = started("a");
    ASSERT_TRUE(first->status().leading);
    EXPECT_LE(first->terminal_states_allowed_from(), Clock::now());
    const auto peer = started("b");
    EXPECT_FALSE(peer->status().leading);
    // The lease of the first incarnation is still valid for a minute.
    const auto second = started("a");
    EXPECT_TRUE(second->status().leading);
    EXPECT_EQ(second->status().term, 2U);
    // Terminal states are held back until a former incarnation that is still running must have
    // stopped responding to users.
    EXPECT_EQ(second->terminal_states_allowed_from(), Clock::time_point::max());
    second->maintain_lease();
    EXPECT_LT(second->terminal_states_allowed_from(), Clock::time_point::max());
    EXPECT_GT(second->terminal_states_allowed_from(), Clock::now() + 50s);
    EXPECT_TRUE(second->status().leading);
}

// A leader that agents cannot reach yields to a peer, and is elected again if no peer is elected.
TEST_F(LeaderElectorRestart, ALeaderThatYieldsLetsAPeerLeadAndLeadsAgainIfNoneDoes) {
    const auto first = started("a", 1s);
    const auto peer = started("b", 1s);
    first->yield_leadership();
    EXPECT_FALSE(first->status().leading);
    EXPECT_FALSE(first->lease_valid());
    EXPECT_EQ(deposed_, 1);
    first->run_once();  // no election, it is still yielding
    EXPECT_FALSE(first->status().leading);
    peer->run_once();
    EXPECT_TRUE(peer->status().leading);
    EXPECT_EQ(peer->status().term, 2U);
    // Without another candidate it is elected once its yield period has ended.
    peer->yield_leadership();
    const auto until = Clock::now() + 10s;
    while (!first->status().leading && Clock::now() < until) {
        first->run_once();
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_TRUE(first->status().leading);
}

TEST_F(LeaderElectorRestart, AFormerIncarnationThatResumesStepsDownAndReclaimsNothing) {
    const auto former = started("a", 1s);
    const auto current = started("a", 60s);
    ASSERT_TRUE(current->status().leading);
    // Its lease has not been revoked yet; it steps down because the leader key was replaced.
    std::this_thread::sleep_for(300ms);
    former->run_once();
    EXPECT_FALSE(former->status().leading);
    EXPECT_EQ(deposed_, 1);
    current->run_once();
    for (int i = 0; i < 3; ++i) {
        former->run_once();
        current->run_once();
    }
    EXPECT_FALSE(former->status().leading);
    EXPECT_TRUE(current->status().leading);
    EXPECT_EQ(current->status().term, 2U);
}

TEST_F(LeaderElectorRestart, TwoProcessesOfOneNameSettleOnOneLeader) {
    const auto one = incarnation("a", 1s);
    const auto other = incarnation("a", 1s);
    for (int i = 0; i < 4; ++i) {
        one->run_once();
        other->run_once();
        std::this_thread::sleep_for(300ms);
    }
    EXPECT_NE(one->status().leading, other->status().leading);
    EXPECT_LE(std::max(one->status().term, other->status().term), 2U);
}

TEST_F(LeaderElectorRestart, ALateCompareAndSwapOfAFormerIncarnationIsRejected) {
    const auto first = started("a");
    const auto key = store_.get("steward").entry;
    const auto view = store_.get("view").entry;
    const auto second = started("a");
    const auto late =
        store_.compare_and_swap({{"steward", key.mod_revision}, {"view", view.mod_revision}},
                                {{"view", view.value, std::nullopt}});
    EXPECT_EQ(late.outcome, state::StoreStatus::conflict);
    const auto as_if_first = store_.compare_and_swap({{"steward", 0}, {"view", 0}},
                                                     {{"steward", key.value, std::nullopt}});
    EXPECT_EQ(as_if_first.outcome, state::StoreStatus::conflict);
    second->run_once();
    EXPECT_TRUE(second->status().leading);
}

TEST_F(LeaderElectorRestart, AControllerThatKeepsRestartingYieldsToAPeer) {
    std::vector<std::unique_ptr<LeaderElector>> incarnations;
    for (std::uint32_t i = 0; i <= max_consecutive_restarts; ++i) {
        incarnations.push_back(started("a", 1s));
        EXPECT_TRUE(incarnations.back()->status().leading);
        EXPECT_EQ(recorded_restarts(), i);
    }
    const auto next = started("a", 1s);
    EXPECT_FALSE(next->status().leading);
    const auto peer = incarnation("b", 1s);
    const auto until = Clock::now() + 30s;
    while (!peer->status().leading && Clock::now() < until) {
        peer->run_once();
        next->run_once();
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_TRUE(peer->status().leading);
    EXPECT_FALSE(next->status().leading);
    EXPECT_EQ(recorded_restarts(), 0U);
    // The previous incarnation ended before it revoked its predecessor's lease.
    EXPECT_GT(peer->terminal_states_allowed_from(), Clock::now());
}

TEST_F(LeaderElectorRestart, AControllerThatKeepsRestartingLeadsAgainIfNoPeerDoes) {
    std::vector<std::unique_ptr<LeaderElector>> incarnations;
    for (std::uint32_t i = 0; i <= max_consecutive_restarts; ++i)
        incarnations.push_back(started("a", 1s));
    const auto next = started("a", 1s);
    EXPECT_FALSE(next->status().leading);
    const auto until = Clock::now() + 30s;
    while (!next->status().leading && Clock::now() < until) {
        next->run_once();
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_TRUE(next->status().leading);
}

TEST_F(LeaderElectorRestart, ProgressResetsTheCountOfRestarts) {
    const auto first = started("a");
    const auto second = started("a");
    const auto third = started("a");
    EXPECT_EQ(recorded_restarts(), 2U);
    third->maintain_lease();
    EXPECT_EQ(recorded_restarts(), 2U);
    third->record_progress();
    third->maintain_lease();
    EXPECT_EQ(recorded_restarts(), 0U);
    EXPECT_TRUE(third->status().leading);
    const auto fourth = started("a");
    EXPECT_EQ(recorded_restarts(), 1U);
    EXPECT_EQ(fourth->status().term, 4U);
}

}  // namespace
}  // namespace bendspindle::leadership
