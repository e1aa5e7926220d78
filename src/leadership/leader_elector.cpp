#include "leadership/leader_elector.hpp"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "io/log.hpp"
#include "state/keys.hpp"

namespace bendspindle::leadership {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds round_every{500};
constexpr int max_jitter_ms = 50;  // either way, so that controllers do not call in step
// Without a change that `watch` has noticed, which usually comes sooner.
constexpr milliseconds check_every{1000};
constexpr milliseconds watch_wait{10'000};
constexpr milliseconds watch_pause{500};
// Steady clocks run up to 0.05% fast or slow against each other; a little more is allowed for.
constexpr double drift_allowance = 0.998;
constexpr milliseconds judgement_margin{150};
constexpr double renewals_per_lease = 4;
// Beyond the rest of its own lease, with which its leader key expires.
constexpr milliseconds yield_time{2000};
// As the revision that a watch goes on from: there is none, the key has to be listed first.
constexpr std::uint64_t nothing_known = 0;

std::uint64_t random_incarnation() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 16) ^ device();
}

bool surely_revoked(state::StoreStatus status) {
    return status == state::StoreStatus::ok || status == state::StoreStatus::absent;
}

}  // namespace

LeaderElector::LeaderElector(state::KeyValueStore& store, std::string name, core::Seconds lease,
                             Events events, io::ClockFunction clock)
    : store_(store),
      name_(std::move(name)),
      lease_time_(lease),
      events_(std::move(events)),
      clock_(std::move(clock)),
      incarnation_(random_incarnation()),
      leadership_store_(store, name_, incarnation_) {}

LeadershipStatus LeaderElector::status() const {
    const std::lock_guard lock(mutex_);
    return status_;
}

bool LeaderElector::lease_valid() const {
    const std::lock_guard lock(mutex_);
    return lease_.has_value() && clock_() < valid_until_;
}

LeaderElector::Clock::time_point LeaderElector::lease_end() const {
    const std::lock_guard lock(mutex_);
    return valid_until_;
}

bool LeaderElector::knows_leadership_record() const {
    const std::lock_guard lock(mutex_);
    return knows_leadership_record_;
}

std::optional<std::uint64_t> LeaderElector::own_lease() const {
    const std::lock_guard lock(mutex_);
    return lease_;
}

void LeaderElector::request_check() {
    check_now_ = true;
    check_wanted_.notify_one();
}

void LeaderElector::observe_newer_term(std::uint64_t term) {
    const std::lock_guard lock(mutex_);
    if (term <= status_.term) return;
    leader_key_seen_.reset();
    request_check();
}

void LeaderElector::learn_leader(std::uint64_t term, const std::string& leader) {
    bool was_leading = false;
    {
        const std::lock_guard lock(mutex_);
        if (term <= status_.term) return;
        was_leading = status_.leading;
        status_ = {term, leader, false, 0};
        if (leader.empty()) {
            leader_key_seen_.reset();
            request_check();
        }
    }
    if (!was_leading) return;
    io::log::info("leader_deposed", "cause", "newer_term", "term", term, "leader",
                  leader.empty() ? "unknown" : leader);
    events_.on_deposed();
}

void LeaderElector::step_down(std::string_view cause) {
    bool was_leading = false;
    std::uint64_t term = 0;
    {
        const std::lock_guard lock(mutex_);
        lease_.reset();
        // Given up before its time, another controller may lead at once.
        valid_until_ = std::min(valid_until_, clock_());
        was_leading = status_.leading;
        term = status_.term;
        status_.leading = false;
        if (was_leading) status_.leader.clear();
    }
    if (!was_leading) return;
    io::log::info("leader_deposed", "cause", cause, "term", term);
    events_.on_deposed();
}

void LeaderElector::renew_lease() {
    const auto sent = clock_();
    std::optional<std::uint64_t> held;
    {
        const std::lock_guard lock(mutex_);
        if (sent < next_renewal_ || resigned_) return;
        held = lease_;
    }
    auto lease = held;
    if (!held)
        lease = leadership_store_.grant_lease(duration_cast<milliseconds>(lease_time_));
    else if (!keep_alive(*held))
        return;
    if (!lease) return;
    const std::lock_guard lock(mutex_);
    // Given up while it was being renewed.
    if (resigned_ || lease_ != held) return;
    lease_ = lease;
    // The store counts from when it got the request; from its sending is the safe side.
    valid_until_ =
        sent + duration_cast<milliseconds>(lease_time_ * drift_allowance) - judgement_margin;
    next_renewal_ = sent + duration_cast<milliseconds>(lease_time_ / renewals_per_lease);
}

// Whether the lease was renewed and is still that of the leader key, while leading.
bool LeaderElector::keep_alive(std::uint64_t lease) {
    const auto outcome = store_.keep_alive(lease);
    if (outcome == state::StoreStatus::absent) {
        step_down("lease_expired");
        return false;
    }
    if (outcome != state::StoreStatus::ok) return false;
    // A former incarnation that goes on may keep its lease while another incarnation of its name
    // has put its own key over the one that the lease was for. Without this check it would answer
    // users with what it knew for as long as it renews
    // (LeaderElectorRestart.AFormerIncarnationThatResumesStepsDownAndReclaimsNothing).
    const auto now = status();
    if (!now.leading) return true;
    const auto owned = leadership_store_.owns_leader_key(now.leader_key_revision);
    if (!owned) return false;
    if (!*owned) step_down("leader_key_replaced");
    return *owned;
}

// None if there is nothing to decide on: the key is known already, or the store did not answer, or
// the record cannot be read.
std::optional<LeaderElector::StoredLeadership> LeaderElector::read_leadership() {
    auto leader = leadership_store_.read_leader_key();
    if (leader.key) {
        const std::lock_guard lock(mutex_);
        if (leader.key->mod_revision == leader_key_seen_) return std::nullopt;
    } else if (leader.status != state::StoreStatus::absent) {
        return std::nullopt;
    }
    auto read = leadership_store_.read_record();
    using Status = LeadershipRecordRead::Status;
    if (read.status == Status::unreadable)
        io::log::error("leadership_record_unreadable", "key", state::keys::leadership_record);
    if (read.status == Status::unreadable || read.status == Status::unavailable)
        return std::nullopt;
    return StoredLeadership{std::move(leader.key), std::move(read.record), read.mod_revision};
}

void LeaderElector::check_leadership() {
    if (status().leading || !lease_valid()) return;
    const auto stored = read_leadership();
    if (!stored) return;
    const auto lease = own_lease();
    if (!lease) return;
    const Candidate self{name_, *lease, just_restarted_, yielded_};
    switch (decide_election(stored->key, stored->record, self)) {
        case ElectionDecision::follow:
            follow(*stored);
            break;
        case ElectionDecision::take:
        case ElectionDecision::reclaim:
            if (!yielding()) become_leader(*stored, self);
            break;
        case ElectionDecision::yield_leadership:
            io::log::error("leadership_yielded", "cause", "consecutive_restarts", "restarts",
                           stored->record->consecutive_restarts);
            yielded_ = true;
            begin_yielding();
            break;
    }
}

void LeaderElector::follow(const StoredLeadership& stored) {
    if (!stored.record) return;
    just_restarted_ = false;
    const std::lock_guard lock(mutex_);
    knows_leadership_record_ = true;
    if (stored.key) leader_key_seen_ = stored.key->mod_revision;
    if (stored.record->term >= status_.term) {
        status_.term = stored.record->term;
        status_.leader = stored.record->leader == name_ ? std::string{} : stored.record->leader;
    }
}

bool LeaderElector::yielding() const {
    const std::lock_guard lock(mutex_);
    return clock_() < yielding_until_;
}

void LeaderElector::begin_yielding() {
    const std::lock_guard lock(mutex_);
    yielding_until_ = clock_() + duration_cast<milliseconds>(lease_time_) + yield_time;
}

void LeaderElector::become_leader(const StoredLeadership& stored, const Candidate& self) {
    const auto& former = stored.key;
    const wire::LeadershipRecord next{stored.record ? stored.record->term + 1 : 1, name_,
                                      next_consecutive_restarts(stored.record, self)};
    const auto cas_result =
        leadership_store_.write_election(former, stored.record_revision, next, self.lease);
    if (cas_result.outcome == state::StoreStatus::unknown) abandon_lease(self.lease);
    if (cas_result.outcome != state::StoreStatus::ok) return;
    if (!record_election(stored, self, next, cas_result.revision)) return;
    just_restarted_ = false;
    written_record_ = next;
    written_record_revision_ = cas_result.revision;
    if (former) former_lease_ = former->lease;
    io::log::info("leader_elected", "term", next.term, "reclaimed", former.has_value());
    events_.on_elected(next.term, cas_result.revision);
}

// False: the lease that holds the key has been given up meanwhile.
bool LeaderElector::record_election(const StoredLeadership& stored, const Candidate& self,
                                    const wire::LeadershipRecord& next,
                                    std::uint64_t leader_key_revision) {
    const std::lock_guard lock(mutex_);
    if (resigned_ || lease_ != self.lease) return false;
    status_ = {next.term, name_, true, leader_key_revision};
    knows_leadership_record_ = true;
    leader_key_seen_ = leader_key_revision;
    if (stored.key) {
        // Set once the former incarnation's lease is revoked.
        terminal_states_allowed_from_ = Clock::time_point::max();
    } else if (stored.record && stored.record->consecutive_restarts > 0) {
        // The incarnation before may have ended before it revoked the lease of the one before it.
        terminal_states_allowed_from_ = clock_() + duration_cast<milliseconds>(lease_time_);
    } else {
        terminal_states_allowed_from_ = Clock::time_point{};
    }
    progress_ = false;
    return true;
}

// An unanswered compare-and-swap may have made this controller the leader without its knowing, or
// may still do so. Once its lease is surely revoked neither can last; else the lease must expire.
void LeaderElector::abandon_lease(std::uint64_t lease) {
    step_down("election_unconfirmed");
    const auto revoked = store_.revoke_lease(lease);
    const std::lock_guard lock(mutex_);
    if (!surely_revoked(revoked))
        next_renewal_ = clock_() + duration_cast<milliseconds>(lease_time_);
}

// Once it is revoked the former incarnation, should it still run, can renew it no more.
void LeaderElector::revoke_former_lease() {
    if (!former_lease_) return;
    if (!surely_revoked(store_.revoke_lease(*former_lease_))) return;
    former_lease_.reset();
    const std::lock_guard lock(mutex_);
    terminal_states_allowed_from_ = clock_() + duration_cast<milliseconds>(lease_time_);
}

// So that the next incarnation's restart is not counted with those that made no progress.
void LeaderElector::reset_restart_count() {
    const auto now = status();
    {
        const std::lock_guard lock(mutex_);
        if (!progress_) return;
    }
    if (!now.leading || written_record_.consecutive_restarts == 0 ||
        written_record_.term != now.term)
        return;
    auto settled = written_record_;
    settled.consecutive_restarts = 0;
    const auto cas_result = leadership_store_.replace_record(now.leader_key_revision,
                                                             written_record_revision_, settled);
    // A conflict: this very write was committed unnoticed, or another controller leads.
    if (cas_result.outcome == state::StoreStatus::ok ||
        cas_result.outcome == state::StoreStatus::conflict)
        written_record_ = settled;
}

LeaderElector::Clock::time_point LeaderElector::terminal_states_allowed_from() const {
    const std::lock_guard lock(mutex_);
    return terminal_states_allowed_from_;
}

void LeaderElector::made_progress() {
    const std::lock_guard lock(mutex_);
    progress_ = true;
}

void LeaderElector::maintain_lease() {
    renew_lease();
    revoke_former_lease();
    reset_restart_count();
}

void LeaderElector::round() {
    maintain_lease();
    check_leadership();
}

void LeaderElector::run() {
    std::mt19937 random(static_cast<unsigned>(incarnation_));
    std::uniform_int_distribution<int> jitter_ms(-max_jitter_ms, max_jitter_ms);
    auto next_check = clock_();
    for (;;) {
        const bool check_due = clock_() >= next_check;
        if (check_due) next_check = clock_() + check_every;
        maintain_lease();
        if (check_due) check_leadership();
        std::unique_lock lock(mutex_);
        check_wanted_.wait_for(lock, round_every + milliseconds(jitter_ms(random)),
                               [&] { return check_now_; });
        if (std::exchange(check_now_, false)) next_check = clock_();
    }
}

// Polling alone notices an expired lease half its interval late, on average, and no controller
// would lead for that much longer.
void LeaderElector::watch() {
    std::uint64_t since = nothing_known;  // the revision up to which changes are known
    for (;;) {
        if (status().leading) {
            since = nothing_known;
            std::this_thread::sleep_for(check_every);
            continue;
        }
        const auto changes = since == nothing_known
                                 ? store_.list(state::keys::leader)
                                 : store_.watch(state::keys::leader, since, watch_wait);
        if (changes.outcome == state::StoreStatus::ok) since = changes.revision;
        if (changes.outcome == state::StoreStatus::too_old) since = nothing_known;
        {
            const std::lock_guard lock(mutex_);
            request_check();
        }
        if (changes.outcome != state::StoreStatus::ok) std::this_thread::sleep_for(watch_pause);
    }
}

void LeaderElector::yield_leadership() {
    begin_yielding();
    const auto lease = own_lease();
    step_down("yielded");
    // Unanswered, the lease expires by itself: nobody renews it.
    if (lease) store_.revoke_lease(*lease);
}

void LeaderElector::resign() {
    std::optional<std::uint64_t> lease;
    {
        const std::lock_guard lock(mutex_);
        resigned_ = true;
        lease = lease_;
    }
    // First nothing is done or answered any more as the leader, then another may be elected.
    step_down("resigned");
    if (lease) store_.revoke_lease(*lease);
}

}  // namespace bendspindle::leadership
