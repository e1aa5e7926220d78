// Whether a controller may renew workers' leases after it lost sight of the state service or of the
// controller that acts, and who may confirm cancellations meanwhile.
#include "leadership/agent_lease_policy.hpp"

#include <gtest/gtest.h>

#include <bit>

namespace bendspindle::leadership {
namespace {

using namespace std::chrono_literals;
const core::TimePoint start{std::chrono::hours(1)};

core::AgentTimings times() {
    core::AgentTimings out;
    out.lease = 30s;
    out.cancel = 50s;
    return out;
}

core::Heartbeat running(const std::string& job) {
    core::Heartbeat out;
    out.machine = "m1";
    out.tasks = {{job, 0, 7, core::TaskState::running, core::ExitCause::none, false},
                 {job, 1, 7, core::TaskState::exited, core::ExitCause::done, false}};
    return out;
}

// Type is renewed last ends with its lease before the cancellation's time is over.
TEST(Renewals, ALeaseRenewedWithinTheBoundEndsInTime) {
    const auto bound = renewal_bound(times());
    EXPECT_GT(bound, 10s);
    EXPECT_LT(bound + times().lease, times().cancel);
}

TEST(LeadershipProof, HoldsForItsBoundBeyondItsOwnLease) {
    LeadershipProof proof(times(), 3);
    proof.begin(start);
    const auto bound = renewal_bound(times());
    EXPECT_TRUE(proof.may_renew(start + 4s, start));
    EXPECT_TRUE(proof.may_renew(start, core::later(start, bound)));
    EXPECT_FALSE(proof.may_renew(start, core::later(start, bound + 1s)));
}

// In an outage for all: running work outlives it as long as a majority knows of nobody else.
TEST(LeadershipProof, LivesOnThroughAnOutageWhileAMajorityVouches) {
    LeadershipProof proof(times(), 5);
    proof.begin(start);
    const auto late = start + 300s;
    proof.vouched("b", late);
    EXPECT_FALSE(proof.may_renew(start, late)) << "two of five";
    proof.vouched("c", late - 10s);
    EXPECT_TRUE(proof.may_renew(start, late));
    EXPECT_EQ(proof.sole_until(start, late), late - 10s);
    EXPECT_FALSE(proof.may_renew(start, late + 60s));
    proof.begin(start);
    EXPECT_FALSE(proof.may_renew(start, late));
}

TEST(LeadershipProof, OneAloneNeedsNobody) {
    const LeadershipProof proof(times(), 1);
    EXPECT_TRUE(proof.may_renew(start, start + 300s));
    EXPECT_TRUE(proof.known_to_enough());
}

// Whoever acknowledged a new term is among any majority that could vouch for the former
// controller, for every number of controllers.
TEST(LeadershipProof, AcknowledgementsMeetEveryMajority) {
    for (unsigned n = 2; n <= 7; ++n) {
        // Bit 0: the new controller, which acknowledges itself. Bit 1: the former one.
        for (unsigned told = 0; told < 1U << n; ++told) {
            if (!(told & 1U) || (told & 2U)) continue;  // told itself, the former one acts no more
            LeadershipProof proof(times(), n);
            proof.begin(start);
            for (unsigned i = 2; i < n; ++i)
                if (told >> i & 1U) proof.acknowledged(std::to_string(i));
            if (!proof.known_to_enough()) continue;
            for (unsigned vouch = 0; vouch < 1U << n; ++vouch) {
                if (!(vouch & 2U)) continue;
                LeadershipProof former(times(), n);
                former.begin(start);
                for (unsigned i = 0; i < n; ++i)
                    if (i != 1 && (vouch >> i & 1U)) former.vouched(std::to_string(i), start);
                if (!former.may_renew(start - 300s, start)) continue;
                EXPECT_NE(told & vouch, 0U) << n << " controllers, " << told << ", " << vouch;
            }
        }
    }
}

// And no more are asked for than that: the end of one of three keeps no cancellation back.
TEST(LeadershipProof, OneOfThreeMayBeGone) {
    LeadershipProof proof(times(), 3);
    proof.begin(start);
    EXPECT_FALSE(proof.known_to_enough());
    proof.acknowledged("c");
    EXPECT_TRUE(proof.known_to_enough());
}

TEST(CancellationReplica, RenewsForItsBoundAfterACompleteWord) {
    CancellationReplica last(times(), 3);
    EXPECT_FALSE(last.may_renew(start)) << "nobody has said anything";
    last.told({2s, 0s, true, {}}, start);
    const auto until = core::later(start - 2s, renewal_bound(times()));
    EXPECT_TRUE(last.may_renew(until));
    EXPECT_FALSE(last.may_renew(until + 1ms));
    // A word that is older takes nothing back.
    last.told({60s, 0s, true, {}}, start + 1s);
    EXPECT_TRUE(last.may_renew(until));
}

// Where machines have not shown the token, a former controller's cancellations may be among them.
TEST(CancellationReplica, AnIncompleteWordStopsButDoesNotRenew) {
    CancellationReplica last(times(), 3);
    last.told({0s, 0s, false, {"job-1"}}, start);
    EXPECT_FALSE(last.may_renew(start));
    EXPECT_EQ(last.stops(running("job-1"), start).size(), 1U);
}

TEST(CancellationReplica, StopsWhatRunsOfCancelledJobsAtOnceAndForgetsThemInTime) {
    CancellationReplica last(times(), 3);
    last.told({0s, 0s, true, {"job-1"}}, start);
    last.told({0s, 0s, true, {}}, start + 1s);  // settled, as far as the acting one knows
    const auto stops = last.stops(running("job-1"), start + 10s);
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].verb, core::TaskCommand::Verb::stop);
    EXPECT_EQ(stops[0].index, 0U);
    EXPECT_EQ(stops[0].attempt, 7U);
    EXPECT_EQ(stops[0].grace, 0s);
    EXPECT_TRUE(last.stops(running("job-2"), start).empty());
    EXPECT_TRUE(last.stops(running("job-1"), start + 101s).empty());
}

wire::peer::CancellationSnapshot remembering(core::Seconds memory,
                                             std::vector<std::string> jobs = {}) {
    return {0s, std::chrono::duration_cast<std::chrono::milliseconds>(memory), true,
            std::move(jobs)};
}

// With the one that acted lost in an outage: two of three remember together what was confirmed.
TEST(CancellationReplica, AMajorityThatRemembersStandsForTheOneThatActed) {
    CancellationReplica last(times(), 3);
    last.begin(start);
    const auto late = start + 200s;
    EXPECT_FALSE(last.may_renew(late));
    last.answered("c", remembering(40s), late);
    EXPECT_FALSE(last.may_renew(late)) << "a cancellation may be older than its memory";
    last.answered("c", remembering(60s, {"job-1"}), late);
    EXPECT_TRUE(last.may_renew(late));
    EXPECT_EQ(last.stops(running("job-1"), late).size(), 1U);
    EXPECT_TRUE(last.word(late).cancelled.empty()) << "told on, it would never be forgotten";
    EXPECT_FALSE(last.may_renew(late + 30s));
}

TEST(CancellationReplica, OneThatHasJustBegunRemembersNothing) {
    CancellationReplica last(times(), 3);
    last.answered("c", remembering(60s), start);
    EXPECT_FALSE(last.may_renew(start)) << "has not read the view";
    last.begin(start);
    last.answered("c", remembering(60s), start + 10s);
    EXPECT_FALSE(last.may_renew(start + 10s));
    last.answered("c", remembering(60s), start + 60s);
    EXPECT_TRUE(last.may_renew(start + 60s));
}

TEST(CancellationReplica, TwoOfFiveAreNoMajority) {
    CancellationReplica last(times(), 5);
    last.begin(start - 100s);
    last.answered("c", remembering(60s), start);
    EXPECT_FALSE(last.may_renew(start));
    last.answered("d", remembering(60s), start);
    EXPECT_TRUE(last.may_renew(start));
}

TEST(CancellationReplica, TellsForAWhileWhatItWasTold) {
    CancellationReplica last(times(), 3);
    last.begin(start);
    last.cancelled("job-1", start);
    EXPECT_EQ(last.word(start + 60s).cancelled, std::vector<std::string>{"job-1"});
    EXPECT_EQ(last.word(start + 60s).memory, 60s);
    EXPECT_TRUE(last.word(start + 101s).cancelled.empty());
}

// For every number of controllers: with the one that confirmed lost, any majority of the others has
// one that was told; and no more than that are waited for.
TEST(LeadershipProof, ConfirmsWhatEveryMajorityOfTheOthersKnows) {
    for (std::size_t n = 1; n <= 7; ++n) {
        std::set<std::string> all;
        for (std::size_t i = 1; i < n; ++i) all.insert(std::to_string(i));
        LeadershipProof proof(times(), n);
        proof.begin(start);
        std::set<std::string> told;
        for (const auto& name : all) {
            const bool lacks = all.size() - told.size() >= peers_of_a_majority(n) + 1;
            EXPECT_EQ(proof.may_confirm(told, all, start), !lacks) << told.size() << " of " << n;
            told.insert(name);
        }
        EXPECT_TRUE(proof.may_confirm(told, all, start));
    }
}

// Those that cannot be told hold a cancellation back for a bounded time.
TEST(LeadershipProof, ConfirmsOnceWhoWasNotToldCanRenewNothing) {
    LeadershipProof proof(times(), 3);
    proof.begin(start);
    const std::set<std::string> all{"b", "c"};
    EXPECT_FALSE(proof.may_confirm({}, all, start + 10s));
    proof.gave_word("b", start + 10s);
    EXPECT_FALSE(proof.may_confirm({}, all, start + 25s));
    EXPECT_TRUE(proof.may_confirm({}, all, start + 40s));
}

}  // namespace
}  // namespace bendspindle::leadership
