/// What controllers exchange so that a confirmed cancellation ends its tasks whichever controller
/// is lost (docs/failure-modes.md, "What a confirmed cancellation needs").
///
///  - The leader announces its term to its peers, and each job that it is about to confirm as
///    cancelled. Once its lease in the key-value store is no longer valid it asks them whether they
///    know a newer term.
///  - A follower asks the leader or, with the leader lost, the other followers for the cancelled
///    jobs.
///
/// From this each controller knows whether it may renew the leases of agents, and which tasks its
/// responses stop. The decisions are those of `LeadershipProof` and `CancellationReplica`; this
/// class calls peers and answers them. The daemon's announcing thread calls `round`, request
/// threads the rest. The time and the calls are passed in.
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

/// What the leader's records in memory say of cancelled jobs.
struct CancelledJobs {
    /// No machine may hold what a former leader cancelled.
    bool complete = false;
    /// Those with tasks on machines.
    std::set<std::string> jobs;
};

/// Reads them from the leader's records. The caller holds the lock of the leader's state.
[[nodiscard]] CancelledJobs cancelled_jobs(const core::Controller& controller);

/// Safe from any thread: its mutex is held across no call to a peer.
class CancellationReplication {
  public:
    /// `name`: this controller's. `leadership` and `peers` outlive this.
    CancellationReplication(std::string name, const core::AgentTimings& timings,
                            Leadership& leadership, Peers& peers,
                            io::ClockFunction clock = io::steady_clock());

    /// This controller has become the leader.
    void on_elected();
    /// It is the leader no more; `own`: what its records say. Rule kept: ran_cancelled. The duty to
    /// stop cancelled tasks outlives the leadership: what is not proved gone is stopped by this
    /// controller's responses as a follower.
    void on_deposed(const CancelledJobs& own);
    /// Informs or asks the peers; meant to be called once a second. Blocks on calls to peers.
    void round();

    /// Whether the leader may renew leases of agents.
    [[nodiscard]] bool may_renew() const;
    /// For an agent's heartbeat at a controller without the leader at hand: the stop commands of
    /// the response, or none if its lease may not be renewed.
    [[nodiscard]] std::optional<std::vector<core::TaskCommand>> renew_without_leader(
        const core::Heartbeat& heartbeat) const;

    /// At the leader: informs peers that a job's cancellation is about to be confirmed. False: too
    /// few of them know of it, and it must not be confirmed. Blocks on calls to peers.
    [[nodiscard]] bool replicate_cancellation(const std::string& job, std::uint64_t term);
    /// Whether a former leader can no longer find a majority that confirms its term.
    [[nodiscard]] bool acknowledged_by_quorum() const;

    /// Response to a leader that announces a cancelled job.
    wire::Response record_cancellation(const std::string& job, std::uint64_t term);
    /// Response of the leader to a peer that asks for the cancelled jobs; `own`: what its records
    /// say.
    wire::Response leader_snapshot(const std::string& peer, const CancelledJobs& own);
    /// Response of a follower to a peer that asks for them.
    [[nodiscard]] wire::Response follower_snapshot() const;

  private:
    using OnAnswer = std::function<void(const std::string& peer, const wire::peer::Answer&,
                                        core::TimePoint asked_at)>;

    void announce_leadership(const LeadershipStatus& status);
    void request_confirmations(const LeadershipStatus& status);
    void request_snapshots(const LeadershipStatus& status);
    bool request_leader_snapshot(const LeadershipStatus& status);
    void request_follower_snapshots(const LeadershipStatus& status);
    void request_from_followers(const LeadershipStatus& status, const OnAnswer& on_answer);
    wire::peer::CancellationSnapshot snapshot_as_leader(const CancelledJobs& own) const;

    const std::string name_;
    Leadership& leadership_;
    Peers& peers_;
    const io::ClockFunction clock_;
    // Guards `proof_` and `replica_`. Taken while the mutex of state::LeaderState is held, never
    // the other way round.
    mutable std::mutex mutex_;
    LeadershipProof proof_;
    CancellationReplica replica_;
};

}  // namespace bendspindle::leadership
