#include "leadership/leader_elector.hpp"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "io/guarded_step.hpp"
#include "io/log.hpp"
#include "state/keys.hpp"

namespace bendspindle::leadership {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds round_interval{500};
constexpr int max_jitter_ms = 50;  // in both directions; keeps controllers from calling in step
// Interval of polling. `watch` usually notices a change earlier.
constexpr milliseconds check_interval{1000};
constexpr milliseconds watch_timeout{10'000};
constexpr milliseconds watch_retry_delay{500};
// Steady clocks drift by up to 0.05% against each other; the factor allows a little more.
constexpr double clock_drift_factor = 0.998;
constexpr milliseconds lease_expiry_margin{150};
constexpr double renewals_per_lease = 4;
// Added to the duration of this controller's lease, after which its leader key has expired.
constexpr milliseconds yield_margin{2000};
// Placeholder for the revision to watch from when none is known and the key must be listed first.
constexpr std::uint64_t no_revision = 0;

std::uint64_t random_incarnation() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 16) ^ device();
}

bool revocation_confirmed(state::StoreStatus status) {
    return status == state::StoreStatus::ok || status == state::StoreStatus::absent;
}

}  // namespace

LeaderElector::LeaderElector(state::KeyValueStore& store, std::string name, core::Seconds lease,
                             Events events, io::ClockFunction clock)
    : store_(store),
      name_(std::move(name)),
      lease_duration_(lease),
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
    return lease_.has_value() && clock_() < lease_valid_until_;
}

LeaderElector::Clock::time_point LeaderElector::lease_end() const {
    const std::lock_guard lock(mutex_);
    return lease_valid_until_;
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
    check_requested_ = true;
    check_condition_.notify_one();
}

void LeaderElector::observe_newer_term(std::uint64_t term) {
    const std::lock_guard lock(mutex_);
    if (term <= status_.term) return;
    seen_leader_key_revision_.reset();
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
            seen_leader_key_revision_.reset();
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
        // After an early release another controller may lead at once.
        lease_valid_until_ = std::min(lease_valid_until_, clock_());
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
    const auto sent_at = clock_();
    std::optional<std::uint64_t> held;
    {
        const std::lock_guard lock(mutex_);
        if (sent_at < next_renewal_ || resigned_) return;
        held = lease_;
    }
    auto lease = held;
    if (!held)
        lease = leadership_store_.grant_lease(duration_cast<milliseconds>(lease_duration_));
    else if (!keep_alive(*held))
        return;
    if (!lease) return;
    const std::lock_guard lock(mutex_);
    // The lease was released during the renewal.
    if (resigned_ || lease_ != held) return;
    lease_ = lease;
    // The store counts from when it received the request; the time of sending is a safe lower
    // bound.
    lease_valid_until_ = sent_at +
                         duration_cast<milliseconds>(lease_duration_ * clock_drift_factor) -
                         lease_expiry_margin;
    next_renewal_ = sent_at + duration_cast<milliseconds>(lease_duration_ / renewals_per_lease);
}

// Returns whether the lease was renewed and, while leading, the leader key is still this
// controller's own.
bool LeaderElector::keep_alive(std::uint64_t lease) {
    const auto outcome = store_.keep_alive(lease);
    if (outcome == state::StoreStatus::absent) {
        step_down("lease_expired");
        return false;
    }
    if (outcome != state::StoreStatus::ok) return false;
    // A former incarnation that resumes may still hold its lease after another incarnation with the
    // same name has replaced its leader key. Without this check it would answer users with stale
    // state for as long as it renews the lease
    // (LeaderElectorRestart.AFormerIncarnationThatResumesStepsDownAndReclaimsNothing).
    const auto now = status();
    if (!now.leading) return true;
    const auto owned = leadership_store_.owns_leader_key(now.leader_key_revision);
    if (!owned) return false;
    if (!*owned) step_down("leader_key_replaced");
    return *owned;
}

// Returns nothing if there is nothing to decide: the leader key has not changed, the store did not
// respond, or the record is unreadable.
std::optional<LeaderElector::StoredLeadership> LeaderElector::read_leadership() {
    auto leader = leadership_store_.read_leader_key();
    if (leader.key) {
        const std::lock_guard lock(mutex_);
        if (leader.key->mod_revision == seen_leader_key_revision_) return std::nullopt;
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
        case ElectionDecision::acquire:
        case ElectionDecision::reclaim:
            if (!is_yielding()) become_leader(*stored, self);
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
    if (stored.key) seen_leader_key_revision_ = stored.key->mod_revision;
    if (stored.record->term >= status_.term) {
        status_.term = stored.record->term;
        status_.leader = stored.record->leader == name_ ? std::string{} : stored.record->leader;
    }
}

bool LeaderElector::is_yielding() const {
    const std::lock_guard lock(mutex_);
    return clock_() < yielding_until_;
}

void LeaderElector::begin_yielding() {
    const std::lock_guard lock(mutex_);
    yielding_until_ = clock_() + duration_cast<milliseconds>(lease_duration_) + yield_margin;
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

// Returns false if the lease of the leader key has been released in the meantime.
bool LeaderElector::record_election(const StoredLeadership& stored, const Candidate& self,
                                    const wire::LeadershipRecord& next,
                                    std::uint64_t leader_key_revision) {
    const std::lock_guard lock(mutex_);
    if (resigned_ || lease_ != self.lease) return false;
    status_ = {next.term, name_, true, leader_key_revision};
    knows_leadership_record_ = true;
    seen_leader_key_revision_ = leader_key_revision;
    if (stored.key) {
        // Replaced by a finite time once the former incarnation's lease is revoked.
        terminal_states_allowed_from_ = Clock::time_point::max();
    } else if (stored.record && stored.record->consecutive_restarts > 0) {
        // The previous incarnation may have ended before it revoked its predecessor's lease.
        terminal_states_allowed_from_ = clock_() + duration_cast<milliseconds>(lease_duration_);
    } else {
        terminal_states_allowed_from_ = Clock::time_point{};
    }
    made_progress_ = false;
    return true;
}

// A compare-and-swap without a response may have made this controller the leader, or may still do
// so. Revoking the lease removes the leader key in both cases; if the revocation is not confirmed,
// the lease must expire before a new one is requested.
void LeaderElector::abandon_lease(std::uint64_t lease) {
    step_down("election_unconfirmed");
    const auto revoked = store_.revoke_lease(lease);
    const std::lock_guard lock(mutex_);
    if (!revocation_confirmed(revoked))
        next_renewal_ = clock_() + duration_cast<milliseconds>(lease_duration_);
}

// After the revocation the former incarnation, if it is still running, cannot renew its lease.
void LeaderElector::revoke_former_lease() {
    if (!former_lease_) return;
    if (!revocation_confirmed(store_.revoke_lease(*former_lease_))) return;
    former_lease_.reset();
    const std::lock_guard lock(mutex_);
    terminal_states_allowed_from_ = clock_() + duration_cast<milliseconds>(lease_duration_);
}

// Resets the stored count after progress, so that the next restart is not counted together with
// restarts without progress.
void LeaderElector::reset_restart_count() {
    const auto now = status();
    {
        const std::lock_guard lock(mutex_);
        if (!made_progress_) return;
    }
    if (!now.leading || written_record_.consecutive_restarts == 0 ||
        written_record_.term != now.term)
        return;
    auto settled = written_record_;
    settled.consecutive_restarts = 0;
    const auto cas_result = leadership_store_.replace_record(now.leader_key_revision,
                                                             written_record_revision_, settled);
    // A conflict means that an earlier attempt of this write was committed without a response, or
    // that another controller leads.
    if (cas_result.outcome == state::StoreStatus::ok ||
        cas_result.outcome == state::StoreStatus::conflict)
        written_record_ = settled;
}

LeaderElector::Clock::time_point LeaderElector::terminal_states_allowed_from() const {
    const std::lock_guard lock(mutex_);
    return terminal_states_allowed_from_;
}

void LeaderElector::record_progress() {
    const std::lock_guard lock(mutex_);
    made_progress_ = true;
}

void LeaderElector::maintain_lease() {
    renew_lease();
    revoke_former_lease();
    reset_restart_count();
}

void LeaderElector::run_once() {
    maintain_lease();
    check_leadership();
}

void LeaderElector::run() {
    std::mt19937 random(static_cast<unsigned>(incarnation_));
    std::uniform_int_distribution<int> jitter_ms(-max_jitter_ms, max_jitter_ms);
    auto next_check = clock_();
    for (;;) {
        const bool check_due = clock_() >= next_check;
        if (check_due) next_check = clock_() + check_interval;
        io::run_guarded("elector", [&] {
            maintain_lease();
            if (check_due) check_leadership();
        });
        std::unique_lock lock(mutex_);
        check_condition_.wait_for(lock, round_interval + milliseconds(jitter_ms(random)),
                                  [&] { return check_requested_; });
        if (std::exchange(check_requested_, false)) next_check = clock_();
    }
}

// With polling alone an expired lease is noticed half a polling interval late on average, and there
// is no leader during that time.
void LeaderElector::watch() {
    std::uint64_t since = no_revision;  // changes up to this revision are known
    for (;;) io::run_guarded("leader_watch", [&] { since = watch_once(since); });
}

// Returns the revision up to which changes are known.
std::uint64_t LeaderElector::watch_once(std::uint64_t since) {
    if (status().leading) {
        std::this_thread::sleep_for(check_interval);
        return no_revision;
    }
    const auto changes = since == no_revision
                             ? store_.list(state::keys::leader)
                             : store_.watch(state::keys::leader, since, watch_timeout);
    if (changes.outcome == state::StoreStatus::ok) since = changes.revision;
    if (changes.outcome == state::StoreStatus::too_old) since = no_revision;
    {
        const std::lock_guard lock(mutex_);
        request_check();
    }
    if (changes.outcome != state::StoreStatus::ok) std::this_thread::sleep_for(watch_retry_delay);
    return since;
}

void LeaderElector::yield_leadership() {
    begin_yielding();
    const auto lease = own_lease();
    step_down("yielded");
    // If the revocation fails, the lease expires because it is no longer renewed.
    if (lease) store_.revoke_lease(*lease);
}

void LeaderElector::resign() {
    std::optional<std::uint64_t> lease;
    {
        const std::lock_guard lock(mutex_);
        resigned_ = true;
        lease = lease_;
    }
    // This controller must stop acting as the leader before another one can be elected.
    step_down("resigned");
    if (lease) store_.revoke_lease(*lease);
}

}  // namespace bendspindle::leadership
