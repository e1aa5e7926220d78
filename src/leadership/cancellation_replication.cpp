#include "leadership/cancellation_replication.hpp"

#include <chrono>
#include <set>
#include <utility>

namespace bendspindle::leadership {

namespace {

using std::chrono::milliseconds;

constexpr int ok = 200;
constexpr int does_not_act = 421;
constexpr int knows_nothing = 503;

}  // namespace

CancelledJobs cancelled_jobs(const core::Controller& controller) {
    // A machine that has not shown this term's token may hold what a former leader cancelled.
    return {controller.unconfirmed() == 0, controller.jobs_to_end()};
}

CancellationReplication::CancellationReplication(std::string name,
                                                 const core::AgentTimings& workers,
                                                 Leadership& leadership, Peers& peers,
                                                 io::ClockFunction clock)
    : name_(std::move(name)),
      leadership_(leadership),
      peers_(peers),
      clock_(std::move(clock)),
      proof_(workers, peers.names().size() + 1),
      cancellation_replica_(workers, peers.names().size() + 1) {}

void CancellationReplication::on_elected() {
    const std::lock_guard lock(mutex_);
    proof_.begin(clock_());
}

void CancellationReplication::on_deposed(const CancelledJobs& own) {
    const auto last = own_word(own);
    const std::lock_guard lock(mutex_);
    cancellation_replica_.told(last, clock_());
}

void CancellationReplication::round() {
    if (leadership_.knows_leadership_record()) {
        const std::lock_guard lock(mutex_);
        cancellation_replica_.begin(clock_());
    }
    const auto status = leadership_.status();
    if (!status.leading)
        ask_for_word(status);
    else if (leadership_.lease_valid())
        tell_peers(status);
    else
        ask_for_vouchers(status);
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
    if (!cancellation_replica_.may_renew(now)) return std::nullopt;
    return cancellation_replica_.stops(heartbeat, now);
}

// Guard against ran_cancelled: with the one that confirmed lost in an outage, nobody knew what to
// stop. Peers know before the user does, enough of them for any majority to have one that knows.
bool CancellationReplication::replicate_cancellation(const std::string& job, std::uint64_t term) {
    {
        const std::lock_guard lock(mutex_);
        cancellation_replica_.cancelled(job, clock_());
    }
    const std::set<std::string> all(peers_.names().begin(), peers_.names().end());
    std::set<std::string> told;
    const auto enough = [&] {
        const std::lock_guard lock(mutex_);
        return proof_.may_confirm(told, all, clock_());
    };
    for (const auto& peer : peers_.names()) {
        if (enough()) return true;
        const auto answer =
            peers_.call_unless_resting(peer, {wire::peer::Op::cancelled, term, job, {}});
        if (!answer) continue;
        if (answer->term > term) leadership_.observe_newer_term(answer->term);
        if (answer->status == ok) told.insert(peer);
    }
    return enough();
}

bool CancellationReplication::known_to_enough() const {
    const std::lock_guard lock(mutex_);
    return proof_.known_to_enough();
}

wire::Response CancellationReplication::record_cancellation(const std::string& job,
                                                            std::uint64_t term) {
    // What nobody has read the view for, or who knows better, keeps no promise.
    if (!leadership_.knows_leadership_record()) return {knows_nothing, 0, {}};
    if (term < leadership_.status().term) return {does_not_act, 0, {}};
    const std::lock_guard lock(mutex_);
    cancellation_replica_.cancelled(job, clock_());
    return {ok, 0, {}};
}

wire::Response CancellationReplication::leader_snapshot(const std::string& peer,
                                                        const CancelledJobs& own) {
    const auto word = own_word(own);
    const std::lock_guard lock(mutex_);
    proof_.gave_word(peer, clock_());
    return {ok, 0, wire::peer::pack(word)};
}

wire::Response CancellationReplication::follower_snapshot() const {
    if (!leadership_.knows_leadership_record()) return {knows_nothing, 0, {}};
    const std::lock_guard lock(mutex_);
    return {does_not_act, 0, wire::peer::pack(cancellation_replica_.word(clock_()))};
}

wire::peer::CancellationSnapshot CancellationReplication::own_word(const CancelledJobs& own) const {
    const auto lease_end = leadership_.lease_end();
    const auto now = clock_();
    const std::lock_guard lock(mutex_);
    const auto memory = cancellation_replica_.word(now);
    wire::peer::CancellationSnapshot out;
    out.age = std::chrono::ceil<milliseconds>(now - proof_.sole_until(lease_end, now));
    out.memory = memory.memory;
    out.complete = own.complete;
    auto cancelled = own.jobs;
    cancelled.insert(memory.cancelled.begin(), memory.cancelled.end());
    out.cancelled.assign(cancelled.begin(), cancelled.end());
    return out;
}

// Tells peers who acts, so that a former leader that the state service refuses, or that is slow to
// notice, steps back before workers lose time with it. Said only with a valid lease: it is also the
// word that the state service answers.
void CancellationReplication::tell_peers(const LeadershipStatus& status) {
    for (const auto& peer : peers_.names()) {
        const auto answer =
            peers_.call(peer, {wire::peer::Op::leader_announcement, status.term, name_, {}});
        if (!answer) continue;
        if (answer->term > status.term) leadership_.observe_newer_term(answer->term);
        const std::lock_guard lock(mutex_);
        if (answer->term == status.term && leadership_.status().term == status.term)
            proof_.acknowledged(peer);
    }
}

// In an outage of the state service nobody else can have taken the role; where it refuses this
// controller alone, somebody can, and peers know.
void CancellationReplication::ask_for_vouchers(const LeadershipStatus& status) {
    ask_all_but_leader(status, [this](const auto& peer, const auto&, core::TimePoint asked) {
        const std::lock_guard lock(mutex_);
        proof_.vouched(peer, asked);
    });
}

// The word of the leader, or else those of the followers: with the leader lost in an outage, what
// runs goes on by what they remember together.
void CancellationReplication::ask_for_word(const LeadershipStatus& status) {
    if (status.term == 0) return;
    if (!ask_leader(status)) ask_followers(status);
}

bool CancellationReplication::ask_leader(const LeadershipStatus& status) {
    if (!peers_.knows(status.leader)) return false;
    const auto asked = clock_();
    const auto answer =
        peers_.call(status.leader, {wire::peer::Op::cancellation_snapshot, status.term, name_, {}});
    if (!answer) return false;
    if (answer->term > status.term) leadership_.observe_newer_term(answer->term);
    if (answer->status != ok || answer->term != status.term) return false;
    const auto word = wire::peer::parse_cancellation_snapshot(answer->body);
    if (!word) return false;
    const std::lock_guard lock(mutex_);
    cancellation_replica_.told(*word, asked);
    return true;
}

void CancellationReplication::ask_followers(const LeadershipStatus& status) {
    ask_all_but_leader(status, [this](const auto& peer, const auto& answer, core::TimePoint asked) {
        const auto word = wire::peer::parse_cancellation_snapshot(answer.body);
        if (!word) return;
        const std::lock_guard lock(mutex_);
        cancellation_replica_.answered(peer, *word, asked);
    });
}

// Asks each peer that is not the leader what is cancelled, and steps back for a higher term. An
// answer counts from when it was asked for.
void CancellationReplication::ask_all_but_leader(const LeadershipStatus& status,
                                                 const Answered& answered) {
    for (const auto& peer : peers_.names()) {
        if (peer == status.leader) continue;
        const auto asked = clock_();
        const auto answer =
            peers_.call(peer, {wire::peer::Op::cancellation_snapshot, status.term, name_, {}});
        if (!answer) continue;
        if (answer->term > status.term) {
            leadership_.learn_leader(answer->term, {});
            return;
        }
        // One that has not read the view since it began may have forgotten a later term.
        if (answer->term != status.term || answer->status == knows_nothing) continue;
        answered(peer, *answer, asked);
    }
}

}  // namespace bendspindle::leadership
