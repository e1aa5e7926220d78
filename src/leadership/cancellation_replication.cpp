#include "leadership/cancellation_replication.hpp"

#include <chrono>
#include <set>
#include <utility>

#include "wire/http_status.hpp"

namespace bendspindle::leadership {

namespace {

using std::chrono::milliseconds;

// Response statuses between controllers.
constexpr int ok = wire::http_status::ok;
constexpr int not_leading = wire::http_status::misdirected;
constexpr int record_unknown = wire::http_status::service_unavailable;

}  // namespace

CancelledJobs cancelled_jobs(const core::Controller& controller) {
    // A machine that has not yet sent this term's fencing token may still run tasks of a job that a
    // former leader cancelled.
    return {controller.unfenced_machine_count() == 0, controller.jobs_to_stop()};
}

CancellationReplication::CancellationReplication(std::string name,
                                                 const core::AgentTimings& timings,
                                                 Leadership& leadership, Peers& peers,
                                                 io::ClockFunction clock)
    : name_(std::move(name)),
      leadership_(leadership),
      peers_(peers),
      clock_(std::move(clock)),
      proof_(timings, peers.names().size() + 1),
      replica_(timings, peers.names().size() + 1) {}

void CancellationReplication::on_elected() {
    const std::lock_guard lock(mutex_);
    proof_.start_term(clock_());
}

void CancellationReplication::on_deposed(const CancelledJobs& leader_jobs) {
    const auto final_snapshot = snapshot_as_leader(leader_jobs);
    const std::lock_guard lock(mutex_);
    replica_.apply_leader_snapshot(final_snapshot, clock_());
}

void CancellationReplication::exchange_with_peers() {
    if (leadership_.knows_leadership_record()) {
        const std::lock_guard lock(mutex_);
        replica_.start_recording(clock_());
    }
    const auto status = leadership_.status();
    if (!status.leading)
        request_snapshots(status);
    else if (leadership_.lease_valid())
        announce_leadership(status);
    else
        request_confirmations(status);
}

bool CancellationReplication::may_renew() const {
    const auto lease_end = leadership_.lease_end();
    const std::lock_guard lock(mutex_);
    return proof_.may_renew(lease_end, clock_());
}

std::optional<std::vector<core::TaskCommand>> CancellationReplication::renew_without_leader(
    const core::Heartbeat& heartbeat) const {
    const auto now = clock_();
    const std::lock_guard lock(mutex_);
    if (!replica_.may_renew(now)) return std::nullopt;
    return replica_.stop_commands(heartbeat, now);
}

// Invariant ran_cancelled: peers are informed before the user, enough of them that every
// majority has a member that knows the cancellation. Otherwise, when the leader that confirmed a
// cancellation was lost in an outage, no controller knew which tasks to stop
// (LeadershipProof.ConfirmsWhatEveryMajorityOfTheOthersKnows).
bool CancellationReplication::replicate_cancellation(const std::string& job, std::uint64_t term) {
    {
        const std::lock_guard lock(mutex_);
        replica_.record_cancellation(job, clock_());
    }
    const std::set<std::string> all_peers(peers_.names().begin(), peers_.names().end());
    std::set<std::string> informed;
    const auto may_confirm = [&] {
        const std::lock_guard lock(mutex_);
        return proof_.may_confirm(informed, all_peers, clock_());
    };
    for (const auto& peer : peers_.names()) {
        if (may_confirm()) return true;
        const auto response =
            peers_.call_unless_unavailable(peer, {wire::peer::Op::cancelled, term, job, {}});
        if (!response) continue;
        if (response->term > term) leadership_.observe_newer_term(response->term);
        if (response->status == ok) informed.insert(peer);
    }
    return may_confirm();
}

bool CancellationReplication::acknowledged_by_quorum() const {
    const std::lock_guard lock(mutex_);
    return proof_.acknowledged_by_quorum();
}

wire::Response CancellationReplication::record_cancellation(const std::string& job,
                                                            std::uint64_t term) {
    // A controller that has not read the leadership record, or knows a newer term, must not
    // acknowledge the cancellation.
    if (!leadership_.knows_leadership_record()) return {record_unknown, 0, {}};
    if (term < leadership_.status().term) return {not_leading, 0, {}};
    const std::lock_guard lock(mutex_);
    replica_.record_cancellation(job, clock_());
    return {ok, 0, {}};
}

wire::Response CancellationReplication::leader_snapshot(const std::string& peer,
                                                        const CancelledJobs& leader_jobs) {
    const auto snapshot = snapshot_as_leader(leader_jobs);
    const std::lock_guard lock(mutex_);
    proof_.record_snapshot_sent(peer, clock_());
    return {ok, 0, wire::peer::pack(snapshot)};
}

wire::Response CancellationReplication::follower_snapshot() const {
    if (!leadership_.knows_leadership_record()) return {record_unknown, 0, {}};
    const std::lock_guard lock(mutex_);
    return {not_leading, 0, wire::peer::pack(replica_.snapshot(clock_()))};
}

wire::peer::CancellationSnapshot CancellationReplication::snapshot_as_leader(
    const CancelledJobs& leader_jobs) const {
    const auto lease_end = leadership_.lease_end();
    const auto now = clock_();
    const std::lock_guard lock(mutex_);
    const auto replicated = replica_.snapshot(now);
    wire::peer::CancellationSnapshot out;
    out.age = std::chrono::ceil<milliseconds>(now - proof_.sole_leader_until(lease_end, now));
    out.history = replicated.history;
    out.complete = leader_jobs.complete;
    auto cancelled = leader_jobs.jobs;
    cancelled.insert(replicated.cancelled.begin(), replicated.cancelled.end());
    out.cancelled.assign(cancelled.begin(), cancelled.end());
    return out;
}

// Announces the term to peers, so that a former leader that cannot use the key-value store, or has
// not noticed the election yet, steps down before agents lose time with it. Requires a valid lease,
// because peers take the announcement as evidence that the key-value store is available.
void CancellationReplication::announce_leadership(const LeadershipStatus& status) {
    for (const auto& peer : peers_.names()) {
        const auto response =
            peers_.call(peer, {wire::peer::Op::leader_announcement, status.term, name_, {}});
        if (!response) continue;
        if (response->term > status.term) leadership_.observe_newer_term(response->term);
        const std::lock_guard lock(mutex_);
        if (response->term == status.term && leadership_.status().term == status.term)
            proof_.record_acknowledgement(peer);
    }
}

// Without a valid lease the leader asks its peers for their term. During an outage of the key-value
// store no other controller can have been elected. If the store is unavailable only to this
// controller, another one can have been elected, and peers know its term.
void CancellationReplication::request_confirmations(const LeadershipStatus& status) {
    request_from_followers(status,
                           [this](const auto& peer, const auto&, core::TimePoint requested_at) {
                               const std::lock_guard lock(mutex_);
                               proof_.record_confirmation(peer, requested_at);
                           });
}

// Requests the leader's snapshot or, if that fails, those of the followers. When the leader is lost
// in an outage, leases are renewed on the combined knowledge of the followers, so that running
// tasks continue.
void CancellationReplication::request_snapshots(const LeadershipStatus& status) {
    if (status.term == 0) return;
    if (!request_leader_snapshot(status)) request_follower_snapshots(status);
}

bool CancellationReplication::request_leader_snapshot(const LeadershipStatus& status) {
    if (!peers_.contains(status.leader)) return false;
    const auto requested_at = clock_();
    const auto response =
        peers_.call(status.leader, {wire::peer::Op::cancellation_snapshot, status.term, name_, {}});
    if (!response) return false;
    if (response->term > status.term) leadership_.observe_newer_term(response->term);
    if (response->status != ok || response->term != status.term) return false;
    const auto snapshot = wire::peer::parse_cancellation_snapshot(response->body);
    if (!snapshot) return false;
    const std::lock_guard lock(mutex_);
    replica_.apply_leader_snapshot(*snapshot, requested_at);
    return true;
}

void CancellationReplication::request_follower_snapshots(const LeadershipStatus& status) {
    request_from_followers(
        status, [this](const auto& peer, const auto& response, core::TimePoint requested_at) {
            const auto snapshot = wire::peer::parse_cancellation_snapshot(response.body);
            if (!snapshot) return;
            const std::lock_guard lock(mutex_);
            replica_.apply_follower_snapshot(peer, *snapshot, requested_at);
        });
}

// Requests the snapshot of each peer that is not the leader, and steps down if a peer knows a newer
// term. A response is dated by the time at which its request was sent.
void CancellationReplication::request_from_followers(const LeadershipStatus& status,
                                                     const OnResponse& on_response) {
    for (const auto& peer : peers_.names()) {
        if (peer == status.leader) continue;
        const auto requested_at = clock_();
        const auto response =
            peers_.call(peer, {wire::peer::Op::cancellation_snapshot, status.term, name_, {}});
        if (!response) continue;
        if (response->term > status.term) {
            leadership_.learn_leader(response->term, {});
            return;
        }
        // A peer that has not read the leadership record since its restart may have known a newer
        // term before.
        if (response->term != status.term || response->status == record_unknown) continue;
        on_response(peer, *response, requested_at);
    }
}

}  // namespace bendspindle::leadership
