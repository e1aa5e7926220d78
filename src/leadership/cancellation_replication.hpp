/// Replication of confirmed cancellations between controllers, so that the tasks of a cancelled job
/// are stopped whichever controller is lost (docs/failure-modes.md, "What a confirmed cancellation
/// needs").
///
///  - The leader announces its term to its peers, and each job whose cancellation it is about to
///    confirm. While its lease in the key-value store is not valid, it asks the peers whether they
///    know a newer term.
///  - A follower requests the cancelled jobs from the leader or, if the leader is lost, from the
///    other followers.
///
/// From these exchanges each controller derives whether it may renew agents' leases and which tasks
/// its responses stop. `LeadershipProof` and `CancellationReplica` make these decisions; this class
/// calls peers and responds to them. The daemon's announcing thread calls `exchange_with_peers`,
/// request threads call the other functions. The clock and the peer client are injected.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/controller.hpp"
#include "io/clock.hpp"
#include "leadership/cancellation_replica.hpp"
#include "leadership/leadership.hpp"
#include "leadership/leadership_proof.hpp"
#include "leadership/peers.hpp"
#include "wire/response.hpp"

namespace bendspindle::leadership {

/// Cancelled jobs according to the leader's records in memory.
struct CancelledJobs {
    /// Whether no machine can still run tasks of a job that only a former leader cancelled.
    bool complete = false;
    /// Cancelled jobs that still have tasks on machines.
    std::set<std::string> jobs;
};

/// Returns the cancelled jobs in the leader's records. Requires the mutex of state::LeaderState.
[[nodiscard]] CancelledJobs cancelled_jobs(const core::Controller& controller);

/// Exchange of cancellations with peers. Thread-safe; its mutex is never held during a call to a
/// peer.
class CancellationReplication {
  public:
    /// `name`: name of this controller. `leadership` and `peers` must outlive this object.
    CancellationReplication(std::string name, const core::AgentTimings& timings,
                            Leadership& leadership, Peers& peers,
                            io::ClockFunction clock = io::steady_clock());

    /// Starts a new term when this controller becomes the leader.
    void on_elected();
    /// Retains the cancelled jobs in the records of this controller when it is deposed. Invariant
    /// ran_cancelled: a controller must stop cancelled tasks beyond its leadership, so its
    /// responses as a follower stop every task of these jobs that is not proved to have ended.
    void on_deposed(const CancelledJobs& leader_jobs);
    /// Performs one exchange with each peer: announcements or requests, depending on the role.
    /// Intended to be called once a second. Blocks on calls to peers.
    void exchange_with_peers();

    /// Returns whether the leader may renew agents' leases.
    [[nodiscard]] bool may_renew() const;
    /// Returns the stop commands for the response to a heartbeat, or nothing if the agent's lease
    /// must not be renewed. Used by a follower that cannot reach the leader, and by a leader whose
    /// records are not loaded yet.
    [[nodiscard]] std::optional<std::vector<core::TaskCommand>> renew_without_leader(
        const core::Heartbeat& heartbeat) const;

    /// Informs peers, on the leader, that the cancellation of a job is about to be confirmed.
    /// Returns false if too few peers know the cancellation, in which case it must not be
    /// confirmed. Blocks on calls to peers.
    [[nodiscard]] bool replicate_cancellation(const std::string& job, std::uint64_t term);
    /// Returns whether a former leader can no longer find a majority that confirms its term.
    [[nodiscard]] bool acknowledged_by_quorum() const;

    /// Records a cancelled job that the leader of `term` announces, and returns the response to it.
    wire::Response record_cancellation(const std::string& job, std::uint64_t term);
    /// Returns the leader's response to a peer that requests the cancelled jobs. `leader_jobs`: the
    /// cancelled jobs in the leader's records.
    wire::Response leader_snapshot(const std::string& peer, const CancelledJobs& leader_jobs);
    /// Returns a follower's response to a peer that requests the cancelled jobs.
    [[nodiscard]] wire::Response follower_snapshot() const;

  private:
    using OnResponse = std::function<void(const std::string& peer, const wire::peer::Answer&,
                                          core::TimePoint requested_at)>;

    void announce_leadership(const LeadershipStatus& status);
    void request_confirmations(const LeadershipStatus& status);
    void request_snapshots(const LeadershipStatus& status);
    bool request_leader_snapshot(const LeadershipStatus& status);
    void request_follower_snapshots(const LeadershipStatus& status);
    void request_from_followers(const LeadershipStatus& status, const OnResponse& on_response);
    wire::peer::CancellationSnapshot snapshot_as_leader(const CancelledJobs& leader_jobs) const;

    const std::string name_;
    Leadership& leadership_;
    Peers& peers_;
    const io::ClockFunction clock_;
    // Guards `proof_` and `replica_`. Lock order: the mutex of state::LeaderState comes first.
    mutable std::mutex mutex_;
    LeadershipProof proof_;
    CancellationReplica replica_;
};

}  // namespace bendspindle::leadership
