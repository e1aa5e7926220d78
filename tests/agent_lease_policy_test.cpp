// Tests whether a controller may renew agents' leases after it lost contact with the key-value
// store or the leader, and when cancellations may be confirmed in that state. Invariant:
// ran_cancelled.
#include "leadership/agent_lease_policy.hpp"

#include <gtest/gtest.h>

#include "leadership/cancellation_replica.hpp"
#include "leadership/leadership_proof.hpp"

namespace bendspindle::leadership {
namespace {

using namespace std::chrono_literals;
const core::TimePoint start{std::chrono::hours(1)};

core::AgentTimings timings() {
    core::AgentTimings out;
    out.lease = 30s;
    out.cancel = 50s;
    return out;
}

// Returns a heartbeat with a running and an exited task of the job.
core::Heartbeat heartbeat_with_tasks_of(const std::string& job) {
    core::Heartbeat out;
    out.machine = "m1";
    out.tasks = {{job, 0, 7, core::TaskState::running, core::ExitCause::none, false},
                 {job, 1, 7, core::TaskState::exited, core::ExitCause::done, false}};
    return out;
}

// Returns a leader's snapshot that was complete `age` before it was requested.
wire::peer::CancellationSnapshot complete_snapshot(core::Seconds age,
                                                   std::vector<std::string> jobs = {}) {
    return {std::chrono::duration_cast<std::chrono::milliseconds>(age), 0s, true, std::move(jobs)};
}

wire::peer::CancellationSnapshot incomplete_snapshot(std::vector<std::string> jobs) {
    return {0s, 0s, false, std::move(jobs)};
}

// Returns the snapshot of a follower that has retained cancellations for `retained_for`.
wire::peer::CancellationSnapshot follower_snapshot(core::Seconds retained_for,
                                                   std::vector<std::string> jobs = {}) {
    return {0s, std::chrono::duration_cast<std::chrono::milliseconds>(retained_for), true,
            std::move(jobs)};
}

// The last renewal must expire before the deadline of the cancellation.
TEST(AgentLeasePolicy, ALeaseRenewedWithinTheBoundExpiresBeforeTheDeadline) {
    const auto bound = renewal_bound(timings());
    EXPECT_GT(bound, 10s);
    EXPECT_LT(bound + timings().lease, timings().cancel);
}

TEST(LeadershipProof, HoldsForItsBoundBeyondItsOwnLease) {
    LeadershipProof proof(timings(), 3);
    proof.start_term(start);
    const auto bound = renewal_bound(timings());

    EXPECT_TRUE(proof.may_renew(start + 4s, start));
    EXPECT_TRUE(proof.may_renew(start, core::later(start, bound)));
    EXPECT_FALSE(proof.may_renew(start, core::later(start, bound + 1s)));
}

// During an outage that affects all controllers, running tasks continue as long as a majority knows
// no newer term.
TEST(LeadershipProof, HoldsThroughAnOutageWhileAMajorityConfirms) {
    LeadershipProof proof(timings(), 5);
    proof.start_term(start);
    const auto late = start + 300s;

    proof.record_confirmation("b", late);
    EXPECT_FALSE(proof.may_renew(start, late)) << "two of five";
    proof.record_confirmation("c", late - 10s);

    EXPECT_TRUE(proof.may_renew(start, late));
    EXPECT_EQ(proof.sole_leader_until(start, late), late - 10s);
    EXPECT_FALSE(proof.may_renew(start, late + 60s));
    proof.start_term(start);
    EXPECT_FALSE(proof.may_renew(start, late));
}

TEST(LeadershipProof, ASingleControllerNeedsNoPeer) {
    const LeadershipProof proof(timings(), 1);

    EXPECT_TRUE(proof.may_renew(start, start + 300s));
    EXPECT_TRUE(proof.acknowledged_by_quorum());
}

// For every number of controllers, each majority that could confirm the former leader's term
// contains a controller that has acknowledged the new term.
TEST(LeadershipProof, AcknowledgementsIntersectEveryMajority) {
    for (unsigned n = 2; n <= 7; ++n) {
        // Bit 0: the new leader, which knows its own term. Bit 1: the former leader.
        for (unsigned informed = 0; informed < 1U << n; ++informed) {
            // The new leader is always informed; a former leader that is informed has stepped down.
            if (!(informed & 1U) || (informed & 2U)) continue;
            LeadershipProof proof(timings(), n);
            proof.start_term(start);
            for (unsigned i = 2; i < n; ++i)
                if (informed >> i & 1U) proof.record_acknowledgement(std::to_string(i));
            if (!proof.acknowledged_by_quorum()) continue;
            for (unsigned confirming = 0; confirming < 1U << n; ++confirming) {
                if (!(confirming & 2U)) continue;
                LeadershipProof former(timings(), n);
                former.start_term(start);
                for (unsigned i = 0; i < n; ++i)
                    if (i != 1 && (confirming >> i & 1U))
                        former.record_confirmation(std::to_string(i), start);
                if (!former.may_renew(start - 300s, start)) continue;
                EXPECT_NE(informed & confirming, 0U)
                    << n << " controllers, " << informed << ", " << confirming;
            }
        }
    }
}

// The quorum must not be larger than necessary: with three controllers, the loss of one must not
// delay a cancellation.
TEST(LeadershipProof, QuorumOfThreeToleratesTheLossOfOne) {
    LeadershipProof proof(timings(), 3);
    proof.start_term(start);
    EXPECT_FALSE(proof.acknowledged_by_quorum());

    proof.record_acknowledgement("c");

    EXPECT_TRUE(proof.acknowledged_by_quorum());
}

TEST(CancellationReplica, RenewsForItsBoundAfterACompleteSnapshot) {
    CancellationReplica replica(timings(), 3);
    EXPECT_FALSE(replica.may_renew(start)) << "no snapshot yet";

    replica.apply_leader_snapshot(complete_snapshot(2s), start);

    const auto until = core::later(start - 2s, renewal_bound(timings()));
    EXPECT_TRUE(replica.may_renew(until));
    EXPECT_FALSE(replica.may_renew(until + 1ms));
    // An older snapshot does not shorten the bound.
    replica.apply_leader_snapshot(complete_snapshot(60s), start + 1s);
    EXPECT_TRUE(replica.may_renew(until));
}

// A machine that has not sent the current fencing token may run tasks of a job that a former leader
// cancelled.
TEST(CancellationReplica, AnIncompleteSnapshotStopsTasksButDoesNotRenew) {
    CancellationReplica replica(timings(), 3);

    replica.apply_leader_snapshot(incomplete_snapshot({"job-1"}), start);

    EXPECT_FALSE(replica.may_renew(start));
    EXPECT_EQ(replica.stop_commands(heartbeat_with_tasks_of("job-1"), start).size(), 1U);
}

TEST(CancellationReplica, StopsRunningTasksOfCancelledJobsWithoutGraceUntilTheyExpire) {
    CancellationReplica replica(timings(), 3);
    replica.apply_leader_snapshot(complete_snapshot(0s, {"job-1"}), start);
    // The leader's next snapshot no longer contains the job.
    replica.apply_leader_snapshot(complete_snapshot(0s), start + 1s);

    const auto stops = replica.stop_commands(heartbeat_with_tasks_of("job-1"), start + 10s);

    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].verb, core::TaskCommand::Verb::stop);
    EXPECT_EQ(stops[0].index, 0U);
    EXPECT_EQ(stops[0].attempt, 7U);
    EXPECT_EQ(stops[0].grace, 0s);
    EXPECT_TRUE(replica.stop_commands(heartbeat_with_tasks_of("job-2"), start).empty());
    EXPECT_TRUE(replica.stop_commands(heartbeat_with_tasks_of("job-1"), start + 101s).empty());
}

// When the leader is lost in an outage, two of three controllers together know every confirmed
// cancellation.
TEST(CancellationReplica, FollowerSnapshotsOfAMajorityReplaceALostLeader) {
    CancellationReplica replica(timings(), 3);
    replica.start_recording(start);
    const auto late = start + 200s;
    EXPECT_FALSE(replica.may_renew(late));

    replica.apply_follower_snapshot("c", follower_snapshot(40s), late);
    EXPECT_FALSE(replica.may_renew(late))
        << "a cancellation may be older than the follower's retention";
    replica.apply_follower_snapshot("c", follower_snapshot(60s, {"job-1"}), late);

    EXPECT_TRUE(replica.may_renew(late));
    EXPECT_EQ(replica.stop_commands(heartbeat_with_tasks_of("job-1"), late).size(), 1U);
    EXPECT_TRUE(replica.snapshot(late).cancelled.empty())
        << "a job from a follower would never be removed if it were passed on";
    EXPECT_FALSE(replica.may_renew(late + 30s));
}

TEST(CancellationReplica, AControllerThatHasJustStartedDoesNotRenew) {
    CancellationReplica replica(timings(), 3);
    replica.apply_follower_snapshot("c", follower_snapshot(60s), start);
    EXPECT_FALSE(replica.may_renew(start)) << "has not read the leadership record";

    replica.start_recording(start);
    replica.apply_follower_snapshot("c", follower_snapshot(60s), start + 10s);
    EXPECT_FALSE(replica.may_renew(start + 10s));
    replica.apply_follower_snapshot("c", follower_snapshot(60s), start + 60s);
    EXPECT_TRUE(replica.may_renew(start + 60s));
}

TEST(CancellationReplica, TwoOfFiveAreNoMajority) {
    CancellationReplica replica(timings(), 5);
    replica.start_recording(start - 100s);

    replica.apply_follower_snapshot("c", follower_snapshot(60s), start);
    EXPECT_FALSE(replica.may_renew(start));
    replica.apply_follower_snapshot("d", follower_snapshot(60s), start);
    EXPECT_TRUE(replica.may_renew(start));
}

TEST(CancellationReplica, SnapshotContainsRecordedCancellationsUntilTheyExpire) {
    CancellationReplica replica(timings(), 3);
    replica.start_recording(start);

    replica.record_cancellation("job-1", start);

    EXPECT_EQ(replica.snapshot(start + 60s).cancelled, std::vector<std::string>{"job-1"});
    EXPECT_EQ(replica.snapshot(start + 60s).history, 60s);
    EXPECT_TRUE(replica.snapshot(start + 101s).cancelled.empty());
}

// For every number of controllers, a cancellation is confirmed as soon as each majority without the
// confirming leader has an informed member, and no earlier.
TEST(LeadershipProof, ConfirmsWhatEveryMajorityOfTheOthersKnows) {
    for (std::size_t n = 1; n <= 7; ++n) {
        std::set<std::string> peers;
        for (std::size_t i = 1; i < n; ++i) peers.insert(std::to_string(i));
        LeadershipProof proof(timings(), n);
        proof.start_term(start);
        std::set<std::string> informed;
        for (const auto& name : peers) {
            const bool some_majority_lacks_it =
                peers.size() - informed.size() >= peers_for_majority(n) + 1;
            EXPECT_EQ(proof.may_confirm(informed, peers, start), !some_majority_lacks_it)
                << informed.size() << " of " << n;
            informed.insert(name);
        }
        EXPECT_TRUE(proof.may_confirm(informed, peers, start));
    }
}

// Peers that cannot be informed delay the confirmation of a cancellation only for a bounded time.
TEST(LeadershipProof, ConfirmsOnceUninformedPeersCanRenewNothing) {
    LeadershipProof proof(timings(), 3);
    proof.start_term(start);
    const std::set<std::string> peers{"b", "c"};
    EXPECT_FALSE(proof.may_confirm({}, peers, start + 10s));

    proof.record_snapshot_sent("b", start + 10s);

    EXPECT_FALSE(proof.may_confirm({}, peers, start + 25s));
    EXPECT_TRUE(proof.may_confirm({}, peers, start + 40s));
}

}  // namespace
}  // namespace bendspindle::leadership
