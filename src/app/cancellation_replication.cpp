#include "app/cancellation_replication.hpp"

#include <chrono>
#include <set>
#include <utility>

namespace bendspindle::app {

namespace {

using std::chrono::milliseconds;

constexpr int ok = 200;
constexpr int does_not_act = 421;
constexpr int knows_nothing = 503;

}  // namespace

CancelledJobs cancelled_jobs(const core::Controller& controller) {
    // A machine that has not shown this epoch's token may hold what a former leader cancelled.
    return {controller.unconfirmed() == 0, controller.jobs_to_end()};
}

CancellationReplication::CancellationReplication(std::string name, const core::WorkerTimes& workers,
                                                 Role& role, Peers& peers, ClockFunction clock)
    : name_(std::move(name)),
      role_(role),
      peers_(peers),
      clock_(std::move(clock)),
      proof_(workers, peers.names().size() + 1),
      last_word_(workers, peers.names().size() + 1) {}

void CancellationReplication::took_over() {
    const std::lock_guard lock(mutex_);
    proof_.begin(clock_());
}

void CancellationReplication::stood_down(const CancelledJobs& own) {
    const auto last = own_word(own);
    const std::lock_guard lock(mutex_);
    last_word_.told(last, clock_());
}

void CancellationReplication::round() {
    if (role_.knows_view()) {
        const std::lock_guard lock(mutex_);
        last_word_.begin(clock_());
    }
    const auto standing = role_.standing();
    if (!standing.acting)
        ask_for_word(standing);
    else if (role_.lease_valid())
        tell_peers(standing);
    else
        ask_for_vouchers(standing);
}

bool CancellationReplication::may_renew() const {
    const auto lease_end = role_.lease_end();
    const std::lock_guard lock(mutex_);
    return proof_.may_renew(lease_end, clock_());
}

std::optional<std::vector<core::Order>> CancellationReplication::renew_unheard(
    const core::Report& report) const {
    const auto now = clock_();
    const std::lock_guard lock(mutex_);
    if (!last_word_.may_renew(now)) return std::nullopt;
    return last_word_.stops(report, now);
}

// Guard against ran_cancelled: with the one that confirmed lost in an outage, nobody knew what to
// stop. Peers know before the user does, enough of them for any majority to have one that knows.
bool CancellationReplication::tell_cancelled(const std::string& job, std::uint64_t epoch) {
    {
        const std::lock_guard lock(mutex_);
        last_word_.cancelled(job, clock_());
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
            peers_.call_unless_resting(peer, {wire::peer::Op::cancelled, epoch, job, {}});
        if (!answer) continue;
        if (answer->epoch > epoch) role_.suspect(answer->epoch);
        if (answer->status == ok) told.insert(peer);
    }
    return enough();
}

bool CancellationReplication::known_to_enough() const {
    const std::lock_guard lock(mutex_);
    return proof_.known_to_enough();
}

Reply CancellationReplication::hear_cancelled(const std::string& job, std::uint64_t epoch) {
    // What nobody has read the view for, or who knows better, keeps no promise.
    if (!role_.knows_view()) return {knows_nothing, 0, {}};
    if (epoch < role_.standing().epoch) return {does_not_act, 0, {}};
    const std::lock_guard lock(mutex_);
    last_word_.cancelled(job, clock_());
    return {ok, 0, {}};
}

Reply CancellationReplication::word_of_leader(const std::string& peer, const CancelledJobs& own) {
    const auto word = own_word(own);
    const std::lock_guard lock(mutex_);
    proof_.gave_word(peer, clock_());
    return {ok, 0, wire::peer::pack(word)};
}

Reply CancellationReplication::word_of_follower() const {
    if (!role_.knows_view()) return {knows_nothing, 0, {}};
    const std::lock_guard lock(mutex_);
    return {does_not_act, 0, wire::peer::pack(last_word_.word(clock_()))};
}

wire::peer::Word CancellationReplication::own_word(const CancelledJobs& own) const {
    const auto lease_end = role_.lease_end();
    const auto now = clock_();
    const std::lock_guard lock(mutex_);
    const auto memory = last_word_.word(now);
    wire::peer::Word out;
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
void CancellationReplication::tell_peers(const Standing& standing) {
    for (const auto& peer : peers_.names()) {
        const auto answer = peers_.call(peer, {wire::peer::Op::view, standing.epoch, name_, {}});
        if (!answer) continue;
        if (answer->epoch > standing.epoch) role_.suspect(answer->epoch);
        const std::lock_guard lock(mutex_);
        if (answer->epoch == standing.epoch && role_.standing().epoch == standing.epoch)
            proof_.acknowledged(peer);
    }
}

// In an outage of the state service nobody else can have taken the role; where it refuses this
// controller alone, somebody can, and peers know.
void CancellationReplication::ask_for_vouchers(const Standing& standing) {
    ask_all_but_leader(standing, [this](const auto& peer, const auto&, core::TimePoint asked) {
        const std::lock_guard lock(mutex_);
        proof_.vouched(peer, asked);
    });
}

// The word of the leader, or else those of the followers: with the leader lost in an outage, what
// runs goes on by what they remember together.
void CancellationReplication::ask_for_word(const Standing& standing) {
    if (standing.epoch == 0) return;
    if (!ask_leader(standing)) ask_followers(standing);
}

bool CancellationReplication::ask_leader(const Standing& standing) {
    if (!peers_.knows(standing.steward)) return false;
    const auto asked = clock_();
    const auto answer =
        peers_.call(standing.steward, {wire::peer::Op::word, standing.epoch, name_, {}});
    if (!answer) return false;
    if (answer->epoch > standing.epoch) role_.suspect(answer->epoch);
    if (answer->status != ok || answer->epoch != standing.epoch) return false;
    const auto word = wire::peer::parse_word(answer->body);
    if (!word) return false;
    const std::lock_guard lock(mutex_);
    last_word_.told(*word, asked);
    return true;
}

void CancellationReplication::ask_followers(const Standing& standing) {
    ask_all_but_leader(standing,
                       [this](const auto& peer, const auto& answer, core::TimePoint asked) {
                           const auto word = wire::peer::parse_word(answer.body);
                           if (!word) return;
                           const std::lock_guard lock(mutex_);
                           last_word_.answered(peer, *word, asked);
                       });
}

// Asks each peer that is not the leader what is cancelled, and steps back for a higher epoch. An
// answer counts from when it was asked for.
void CancellationReplication::ask_all_but_leader(const Standing& standing,
                                                 const Answered& answered) {
    for (const auto& peer : peers_.names()) {
        if (peer == standing.steward) continue;
        const auto asked = clock_();
        const auto answer = peers_.call(peer, {wire::peer::Op::word, standing.epoch, name_, {}});
        if (!answer) continue;
        if (answer->epoch > standing.epoch) {
            role_.heard(answer->epoch, {});
            return;
        }
        // One that has not read the view since it began may have forgotten a later epoch.
        if (answer->epoch != standing.epoch || answer->status == knows_nothing) continue;
        answered(peer, *answer, asked);
    }
}

}  // namespace bendspindle::app
