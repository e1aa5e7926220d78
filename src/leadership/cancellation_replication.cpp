#include "leadership/cancellation_replication.hpp"

#include <chrono>
#include <set>
#include <utility>

#include "wire/http_status.hpp"

namespace bendspindle::leadership {

namespace {

using std::chrono::milliseconds;

// Statuses between controllers.
constexpr int ok = wire::http_status::ok;
constexpr int not_leading = wire::http_status::misdirected;
constexpr int knows_no_term = wire::http_status::service_unavailable;

}  // namespace

CancelledJobs cancelled_jobs(const core::Controller& controller) {
    // A machine that has not shown this term's token may hold what a former leader cancelled.
    return {controller.unconfirmed() == 0, controller.jobs_to_end()};
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
    proof_.begin(clock_());
}

void CancellationReplication::on_deposed(const CancelledJobs& own) {
    const auto last = snapshot_as_leader(own);
    const std::lock_guard lock(mutex_);
    replica_.apply_leader_snapshot(last, clock_());
}

void CancellationReplication::round() {
    if (leadership_.knows_leadership_record()) {
        const std::lock_guard lock(mutex_);
        replica_.begin(clock_());
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

// Rule kept: ran_cancelled. With the leader that confirmed lost in an outage, no controller knew
// what to stop. Peers know before the user does, enough of them for any majority to have one that
// knows (LeadershipProof.ConfirmsWhatEveryMajorityOfTheOthersKnows).
bool CancellationReplication::replicate_cancellation(const std::string& job, std::uint64_t term) {
    {
        const std::lock_guard lock(mutex_);
        replica_.record_cancellation(job, clock_());
    }
    const std::set<std::string> all(peers_.names().begin(), peers_.names().end());
    std::set<std::string> informed;
    const auto enough = [&] {
        const std::lock_guard lock(mutex_);
        return proof_.may_confirm(informed, all, clock_());
    };
    for (const auto& peer : peers_.names()) {
        if (enough()) return true;
        const auto answer =
            peers_.call_unless_unavailable(peer, {wire::peer::Op::cancelled, term, job, {}});
        if (!answer) continue;
        if (answer->term > term) leadership_.observe_newer_term(answer->term);
        if (answer->status == ok) informed.insert(peer);
    }
    return enough();
}

bool CancellationReplication::acknowledged_by_quorum() const {
    const std::lock_guard lock(mutex_);
    return proof_.acknowledged_by_quorum();
}

wire::Response CancellationReplication::record_cancellation(const std::string& job,
                                                            std::uint64_t term) {
    // A controller that has not read the leadership record, or knows a newer term, makes no
    // promise.
    if (!leadership_.knows_leadership_record()) return {knows_no_term, 0, {}};
    if (term < leadership_.status().term) return {not_leading, 0, {}};
    const std::lock_guard lock(mutex_);
    replica_.record_cancellation(job, clock_());
    return {ok, 0, {}};
}

wire::Response CancellationReplication::leader_snapshot(const std::string& peer,
                                                        const CancelledJobs& own) {
    const auto snapshot = snapshot_as_leader(own);
    const std::lock_guard lock(mutex_);
    proof_.record_snapshot_sent(peer, clock_());
    return {ok, 0, wire::peer::pack(snapshot)};
}

wire::Response CancellationReplication::follower_snapshot() const {
    if (!leadership_.knows_leadership_record()) return {knows_no_term, 0, {}};
    const std::lock_guard lock(mutex_);
    return {not_leading, 0, wire::peer::pack(replica_.snapshot(clock_()))};
}

wire::peer::CancellationSnapshot CancellationReplication::snapshot_as_leader(
    const CancelledJobs& own) const {
    const auto lease_end = leadership_.lease_end();
    const auto now = clock_();
    const std::lock_guard lock(mutex_);
    const auto replicated = replica_.snapshot(now);
    wire::peer::CancellationSnapshot out;
    out.age = std::chrono::ceil<milliseconds>(now - proof_.sole_leader_until(lease_end, now));
    out.history = replicated.history;
    out.complete = own.complete;
    auto cancelled = own.jobs;
    cancelled.insert(replicated.cancelled.begin(), replicated.cancelled.end());
    out.cancelled.assign(cancelled.begin(), cancelled.end());
    return out;
}

// Announces the term to peers, so that a former leader that the key-value store refuses, or that is
// slow to notice, steps down before agents lose time with it. Only with a valid lease: peers take
// the announcement for a sign that the key-value store answers.
void CancellationReplication::announce_leadership(const LeadershipStatus& status) {
    for (const auto& peer : peers_.names()) {
        const auto answer =
            peers_.call(peer, {wire::peer::Op::leader_announcement, status.term, name_, {}});
        if (!answer) continue;
        if (answer->term > status.term) leadership_.observe_newer_term(answer->term);
        const std::lock_guard lock(mutex_);
        if (answer->term == status.term && leadership_.status().term == status.term)
            proof_.record_acknowledgement(peer);
    }
}

// In an outage of the key-value store no other controller can have been elected; where the store
// refuses this controller alone, one can, and peers know its term.
void CancellationReplication::request_confirmations(const LeadershipStatus& status) {
    request_from_followers(status, [this](const auto& peer, const auto&, core::TimePoint asked_at) {
        const std::lock_guard lock(mutex_);
        proof_.record_confirmation(peer, asked_at);
    });
}

// The leader's snapshot, or else those of the followers: with the leader lost in an outage, running
// tasks go on by what the followers remember together.
void CancellationReplication::request_snapshots(const LeadershipStatus& status) {
    if (status.term == 0) return;
    if (!request_leader_snapshot(status)) request_follower_snapshots(status);
}

bool CancellationReplication::request_leader_snapshot(const LeadershipStatus& status) {
    if (!peers_.knows(status.leader)) return false;
    const auto asked_at = clock_();
    const auto answer =
        peers_.call(status.leader, {wire::peer::Op::cancellation_snapshot, status.term, name_, {}});
    if (!answer) return false;
    if (answer->term > status.term) leadership_.observe_newer_term(answer->term);
    if (answer->status != ok || answer->term != status.term) return false;
    const auto snapshot = wire::peer::parse_cancellation_snapshot(answer->body);
    if (!snapshot) return false;
    const std::lock_guard lock(mutex_);
    replica_.apply_leader_snapshot(*snapshot, asked_at);
    return true;
}

void CancellationReplication::request_follower_snapshots(const LeadershipStatus& status) {
    request_from_followers(
        status, [this](const auto& peer, const auto& answer, core::TimePoint asked_at) {
            const auto snapshot = wire::peer::parse_cancellation_snapshot(answer.body);
            if (!snapshot) return;
            const std::lock_guard lock(mutex_);
            replica_.apply_follower_snapshot(peer, *snapshot, asked_at);
        });
}

// Asks each peer that is not the leader for its snapshot, and steps down for a newer term. An
// answer counts from when it was asked for.
void CancellationReplication::request_from_followers(const LeadershipStatus& status,
                                                     const OnAnswer& on_answer) {
    for (const auto& peer : peers_.names()) {
        if (peer == status.leader) continue;
        const auto asked_at = clock_();
        const auto answer =
            peers_.call(peer, {wire::peer::Op::cancellation_snapshot, status.term, name_, {}});
        if (!answer) continue;
        if (answer->term > status.term) {
            leadership_.learn_leader(answer->term, {});
            return;
        }
        // A peer that has not read the leadership record since it started may have forgotten a
        // newer term.
        if (answer->term != status.term || answer->status == knows_no_term) continue;
        on_answer(peer, *answer, asked_at);
    }
}

}  // namespace bendspindle::leadership
