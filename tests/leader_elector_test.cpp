// Who acts, against a stand-in of the state service: lives of one name that follow each other at
// once, that overlap, that keep ending. Each life is one object; one that is no more run has ended
// or is frozen.
#include "leadership/leader_elector.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include "standin/services.hpp"
#include "state/http_key_value_store.hpp"

namespace bendspindle::leadership {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

class Lives : public testing::Test {
  protected:
    Lives()
        : port_(33000 + static_cast<int>(::getpid() % 2000)),
          service_(port_),
          store_({"127.0.0.1", port_}) {}

    std::unique_ptr<LeaderElector> life(const std::string& name, core::Seconds lease = 60s) {
        return std::make_unique<LeaderElector>(
            store_, name, lease,
            LeaderElector::Events{[](std::uint64_t, std::uint64_t) {}, [this] { ++deposed_; }});
    }
    // A life that begins and has its first look.
    std::unique_ptr<LeaderElector> begun(const std::string& name, core::Seconds lease = 60s) {
        auto out = life(name, lease);
        out->round(true);
        return out;
    }
    std::uint32_t returns() {
        return wire::parse_leadership_record(store_.get("view").entry.value)->consecutive_restarts;
    }

    int port_;
    standin::StateService service_;
    state::HttpKeyValueStore store_;
    int deposed_ = 0;
};

// Controllers of other versions read the same keys in the key-value store: their names and fields
// stay, and so does which of them end with the leader's lease.
TEST_F(Lives, TheKeysOfALeaderKeepTheirNamesAndFields) {
    const auto leader = begun("a");
    ASSERT_TRUE(leader->status().leading);
    const auto leadership = store_.get("steward").entry;
    const auto own = store_.get("controller/a").entry;
    const auto view = store_.get("view").entry;
    EXPECT_EQ(leadership.value,
              (wire::Value{{"name", "a"}, {"incarnation", own.value["incarnation"]}}));
    EXPECT_EQ(own.value.size(), 1U);
    EXPECT_FALSE(own.value["incarnation"].is_null());
    EXPECT_EQ(view.value, (wire::Value{{"epoch", 1}, {"steward", "a"}, {"returns", 0}}));
    EXPECT_NE(leadership.lease, 0U);
    EXPECT_EQ(own.lease, leadership.lease);
    EXPECT_EQ(view.lease, 0U);
}

TEST_F(Lives, ANewLifeTakesTheRoleOfItsFormerOneAtOnce) {
    const auto first = begun("a");
    ASSERT_TRUE(first->status().leading);
    EXPECT_LE(first->terminal_states_allowed_from(), Clock::now());
    const auto peer = begun("b");
    EXPECT_FALSE(peer->status().leading);
    // The first one's lease still has a minute.
    const auto second = begun("a");
    EXPECT_TRUE(second->status().leading);
    EXPECT_EQ(second->status().term, 2U);
    // Nothing is told as over before a former life that goes on must have stopped answering.
    EXPECT_EQ(second->terminal_states_allowed_from(), Clock::time_point::max());
    second->round(false);
    EXPECT_LT(second->terminal_states_allowed_from(), Clock::time_point::max());
    EXPECT_GT(second->terminal_states_allowed_from(), Clock::now() + 50s);
    EXPECT_TRUE(second->status().leading);
}

// Guard: the one that workers cannot reach hands the role over, and takes it back if nobody else
// can.
TEST_F(Lives, OneThatGivesWayLetsASiblingActAndActsAgainIfNobodyDoes) {
    const auto first = begun("a", 1s);
    const auto peer = begun("b", 1s);
    first->yield_leadership();
    EXPECT_FALSE(first->status().leading);
    EXPECT_FALSE(first->lease_valid());
    EXPECT_EQ(deposed_, 1);
    first->round(true);  // its turn is not now
    EXPECT_FALSE(first->status().leading);
    peer->round(true);
    EXPECT_TRUE(peer->status().leading);
    EXPECT_EQ(peer->status().term, 2U);
    // Alone, it goes on once others have had their turn.
    peer->yield_leadership();
    const auto until = Clock::now() + 10s;
    while (!first->status().leading && Clock::now() < until) {
        first->round(true);
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_TRUE(first->status().leading);
}

TEST_F(Lives, AFormerLifeThatWakesActsNoMoreAndTakesNothingBack) {
    const auto elder = begun("a", 1s);
    const auto younger = begun("a", 60s);
    ASSERT_TRUE(younger->status().leading);
    // Its lease has not been ended yet: that its key is another's tells it.
    std::this_thread::sleep_for(300ms);
    elder->round(true);
    EXPECT_FALSE(elder->status().leading);
    EXPECT_EQ(deposed_, 1);
    younger->round(true);
    for (int i = 0; i < 3; ++i) {
        elder->round(true);
        younger->round(true);
    }
    EXPECT_FALSE(elder->status().leading);
    EXPECT_TRUE(younger->status().leading);
    EXPECT_EQ(younger->status().term, 2U);
}

TEST_F(Lives, TwoThatBeginTogetherSettleOnOne) {
    const auto one = life("a", 1s);
    const auto other = life("a", 1s);
    for (int i = 0; i < 4; ++i) {
        one->round(true);
        other->round(true);
        std::this_thread::sleep_for(300ms);
    }
    EXPECT_NE(one->status().leading, other->status().leading);
    EXPECT_LE(std::max(one->status().term, other->status().term), 2U);
}

TEST_F(Lives, ALateTransactionOfAFormerLifeChangesNothing) {
    const auto first = begun("a");
    const auto key = store_.get("steward").entry;
    const auto view = store_.get("view").entry;
    const auto second = begun("a");
    const auto late =
        store_.compare_and_swap({{"steward", key.mod_revision}, {"view", view.mod_revision}},
                                {{"view", view.value, std::nullopt}});
    EXPECT_EQ(late.outcome, state::StoreStatus::conflict);
    const auto first_of_all = store_.compare_and_swap({{"steward", 0}, {"view", 0}},
                                                      {{"steward", key.value, std::nullopt}});
    EXPECT_EQ(first_of_all.outcome, state::StoreStatus::conflict);
    second->round(true);
    EXPECT_TRUE(second->status().leading);
}

TEST_F(Lives, OneThatKeepsEndingLeavesTheRoleToASibling) {
    std::vector<std::unique_ptr<LeaderElector>> lives;
    for (std::uint32_t i = 0; i <= max_consecutive_restarts; ++i) {
        lives.push_back(begun("a", 1s));
        EXPECT_TRUE(lives.back()->status().leading);
        EXPECT_EQ(returns(), i);
    }
    const auto next = begun("a", 1s);
    EXPECT_FALSE(next->status().leading);
    const auto peer = life("b", 1s);
    const auto until = Clock::now() + 30s;
    while (!peer->status().leading && Clock::now() < until) {
        peer->round(true);
        next->round(true);
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_TRUE(peer->status().leading);
    EXPECT_FALSE(next->status().leading);
    EXPECT_EQ(returns(), 0U);
    // The life before had no time to end the lease of the one before it.
    EXPECT_GT(peer->terminal_states_allowed_from(), Clock::now());
}

TEST_F(Lives, OneThatKeepsEndingActsAgainIfNobodyElseDoes) {
    std::vector<std::unique_ptr<LeaderElector>> lives;
    for (std::uint32_t i = 0; i <= max_consecutive_restarts; ++i) lives.push_back(begun("a", 1s));
    const auto next = begun("a", 1s);
    EXPECT_FALSE(next->status().leading);
    const auto until = Clock::now() + 30s;
    while (!next->status().leading && Clock::now() < until) {
        next->round(true);
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_TRUE(next->status().leading);
}

TEST_F(Lives, ProgressClearsWhatLivesBeforeHaveEnded) {
    const auto first = begun("a");
    const auto second = begun("a");
    const auto third = begun("a");
    EXPECT_EQ(returns(), 2U);
    third->round(false);
    EXPECT_EQ(returns(), 2U);
    third->made_progress();
    third->round(false);
    EXPECT_EQ(returns(), 0U);
    EXPECT_TRUE(third->status().leading);
    const auto fourth = begun("a");
    EXPECT_EQ(returns(), 1U);
    EXPECT_EQ(fourth->status().term, 4U);
}

}  // namespace
}  // namespace bendspindle::leadership
