// What controllers tell each other so that a confirmed cancellation ends the tasks whoever is lost
// (docs/troubles.md, "What a confirmed cancellation needs").
//
//  - The leader tells its peers that it acts, and each job that it is about to call cancelled. Once
//    its lease in the state service is no longer valid it asks them whether they know of another.
//  - A follower asks the leader, or with that one lost the other followers, what is cancelled.
//
// From this each knows whether it may renew the leases of workers and what its answers stop. The
// decisions are those of `LeadershipProof` and `CancellationReplica`; this class calls peers and
// answers them, and holds its lock across no call. The time and the calls are passed in.
#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/controller.hpp"
#include "io/clock.hpp"
#include "leadership/agent_lease_policy.hpp"
#include "leadership/leadership.hpp"
#include "leadership/peers.hpp"
#include "wire/response.hpp"

namespace bendspindle::leadership {

// What the leader's records in memory say.
struct CancelledJobs {
    // No machine may hold what a former leader cancelled.
    bool complete = false;
    std::set<std::string> jobs;  // with tasks on machines
};
CancelledJobs cancelled_jobs(const core::Controller& controller);

class CancellationReplication {
  public:
    // `name`: this controller's. `role` and `peers` outlive this.
    CancellationReplication(std::string name, const core::AgentTimings& workers,
                            Leadership& leadership, Peers& peers,
                            io::ClockFunction clock = io::steady_clock());

    // This controller has become the leader.
    void on_elected();
    // It is the leader no more. Guard against ran_cancelled: the duty outlives the role. What is
    // not proved gone is stopped by this controller's answers as a follower.
    void on_deposed(const CancelledJobs& own);
    // Tells or asks the peers, once a second.
    void round();

    // Whether the leader may renew leases of workers.
    bool may_renew() const;
    // A worker's report at a follower, with the leader out of reach: the stops to answer, if its
    // lease may be renewed.
    std::optional<std::vector<core::TaskCommand>> renew_without_leader(
        const core::Heartbeat& heartbeat) const;

    // Tells peers that a job is about to be called cancelled. False: too few of them know of it.
    bool replicate_cancellation(const std::string& job, std::uint64_t term);
    // Whether a former leader can no longer find a majority that vouches for it.
    bool known_to_enough() const;

    // What peers are answered: to the leader that tells a cancelled job, and to one that asks what
    // is cancelled, by the leader (with what it has in memory) and by a follower.
    wire::Response record_cancellation(const std::string& job, std::uint64_t term);
    wire::Response leader_snapshot(const std::string& peer, const CancelledJobs& own);
    wire::Response follower_snapshot() const;

  private:
    using Answered =
        std::function<void(const std::string& peer, const wire::peer::Answer&, core::TimePoint)>;

    void tell_peers(const LeadershipStatus& status);
    void ask_for_vouchers(const LeadershipStatus& status);
    void ask_for_word(const LeadershipStatus& status);
    bool ask_leader(const LeadershipStatus& status);
    void ask_followers(const LeadershipStatus& status);
    void ask_all_but_leader(const LeadershipStatus& status, const Answered& answered);
    wire::peer::CancellationSnapshot own_word(const CancelledJobs& own) const;

    const std::string name_;
    Leadership& leadership_;
    Peers& peers_;
    const io::ClockFunction clock_;
    mutable std::mutex mutex_;  // taken while holding the office's, never the other way round
    LeadershipProof proof_;
    CancellationReplica cancellation_replica_;
};

}  // namespace bendspindle::leadership
