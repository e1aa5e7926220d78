#include "leadership/leader_elector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "state/keys.hpp"

namespace bendspindle::leadership {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds check_every{500};
// Without news; the watch usually tells sooner.
constexpr milliseconds look_every{1000};
constexpr milliseconds watch_wait{10'000};
constexpr milliseconds watch_pause{500};
// Steady clocks run up to 0.05% fast or slow against each other; a little more is allowed for.
constexpr double drift_allowance = 0.998;
constexpr milliseconds judgement_margin{150};
constexpr double renewals_a_lease = 4;
// Beyond the rest of its own lease, which nobody may take before it ends.
constexpr milliseconds others_first{2000};

}  // namespace

LeaderElector::LeaderElector(state::KeyValueStore& store, std::string name, core::Seconds lease,
                             Events events, io::ClockFunction clock)
    : store_(store),
      name_(std::move(name)),
      lease_time_(lease),
      events_(std::move(events)),
      clock_(std::move(clock)) {
    std::random_device device;
    incarnation_ = (static_cast<std::uint64_t>(device()) << 16) ^ device();
}

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

void LeaderElector::observe_newer_term(std::uint64_t term) {
    const std::lock_guard lock(mutex_);
    if (term <= status_.term) return;
    leader_key_seen_ = 0;
    look_now_ = true;
    wake_.notify_one();
}

void LeaderElector::learn_leader(std::uint64_t term, const std::string& leader) {
    bool was_leading = false;
    {
        const std::lock_guard lock(mutex_);
        if (term <= status_.term) return;
        was_leading = status_.leading;
        status_ = {term, leader, false, 0};
        if (leader.empty()) {
            leader_key_seen_ = 0;
            look_now_ = true;
            wake_.notify_one();
        }
    }
    if (!was_leading) return;
    spdlog::info("{} acts under epoch {}; acting no more", leader.empty() ? "another" : leader,
                 term);
    events_.on_deposed();
}

void LeaderElector::step_down() {
    bool was_leading = false;
    {
        const std::lock_guard lock(mutex_);
        lease_.reset();
        // Given up before its time, another may act at once.
        valid_until_ = std::min(valid_until_, clock_());
        was_leading = status_.leading;
        status_.leading = false;
        if (was_leading) status_.leader.clear();
    }
    if (was_leading) {
        spdlog::info("lost the steward's lease; acting no more");
        events_.on_deposed();
    }
}

void LeaderElector::renew() {
    const auto sent = clock_();
    std::optional<std::uint64_t> lease;
    std::optional<std::uint64_t> held;
    {
        const std::lock_guard lock(mutex_);
        if (sent < next_renewal_ || resigned_) return;
        lease = held = lease_;
    }
    const auto life = duration_cast<milliseconds>(lease_time_);
    if (!lease) {
        const auto granted = store_.grant_lease(life);
        if (!granted) return;
        const auto put =
            store_.compare_and_swap({}, {{state::keys::controller(name_),
                                          wire::Value{{"incarnation", incarnation_}}, *granted}});
        if (put.outcome != state::StoreStatus::ok) return;
        lease = granted;
    } else {
        const auto outcome = store_.keep_alive(*lease);
        if (outcome == state::StoreStatus::absent) {
            step_down();
            return;
        }
        if (outcome != state::StoreStatus::ok) return;
        // Guard against a former life that goes on: its lease may live while another life of its
        // name has put its own key over the one that the lease was for. Without this it would tell
        // users what it knew for as long as it renews.
        if (const auto now = status(); now.leading) {
            const auto holds = holds_key(now.leader_key_revision);
            if (!holds) return;
            if (!*holds) {
                step_down();
                return;
            }
        }
    }
    const std::lock_guard lock(mutex_);
    // Given up while it was being renewed.
    if (resigned_ || lease_ != held) return;
    lease_ = lease;
    // The service counts from when it got the request; from its sending is the safe side.
    valid_until_ =
        sent + duration_cast<milliseconds>(lease_time_ * drift_allowance) - judgement_margin;
    next_renewal_ = sent + duration_cast<milliseconds>(lease_time_ / renewals_a_lease);
}

std::optional<bool> LeaderElector::holds_key(std::uint64_t mod_revision) {
    const auto key = store_.get(state::keys::leader);
    if (key.outcome == state::StoreStatus::absent) return false;
    if (key.outcome != state::StoreStatus::ok) return std::nullopt;
    return key.entry.mod_revision == mod_revision;
}

void LeaderElector::look() {
    const auto before = status();
    if (before.leading || !lease_valid()) return;
    const auto leader = store_.get(state::keys::leader);
    std::optional<LeaderKey> key;
    if (leader.outcome == state::StoreStatus::ok) {
        const auto& entry = leader.entry;
        key = LeaderKey{entry.value.value("name", std::string()), entry.lease, entry.mod_revision};
        const std::lock_guard lock(mutex_);
        if (entry.mod_revision == leader_key_seen_) return;
    } else if (leader.outcome != state::StoreStatus::absent) {
        return;
    }
    const auto view = store_.get(state::keys::leadership_record);
    if (view.outcome != state::StoreStatus::ok && view.outcome != state::StoreStatus::absent)
        return;
    std::optional<wire::LeadershipRecord> parsed;
    if (view.outcome == state::StoreStatus::ok) {
        parsed = wire::parse_leadership_record(view.entry.value);
        if (!parsed) {
            spdlog::error("the view in the state service cannot be read; not acting");
            return;
        }
    }
    std::optional<std::uint64_t> lease;
    {
        const std::lock_guard lock(mutex_);
        lease = lease_;
    }
    if (!lease) return;
    const Candidate self{name_, *lease, just_restarted_, yielded_};
    switch (decide_election(key, parsed, self)) {
        case ElectionDecision::follow:
            break;
        case ElectionDecision::take:
        case ElectionDecision::reclaim:
            if (!yielding()) take_over(key, parsed, parsed ? view.entry.mod_revision : 0, self);
            return;
        case ElectionDecision::yield_leadership:
            spdlog::error("ended {} times soon after taking the role; others go first",
                          parsed->consecutive_restarts);
            yielded_ = true;
            let_others_go_first();
            return;
    }
    if (!parsed) return;
    just_restarted_ = false;
    const std::lock_guard lock(mutex_);
    knows_leadership_record_ = true;
    leader_key_seen_ = leader.entry.mod_revision;
    if (parsed->term >= status_.term) {
        status_.term = parsed->term;
        status_.leader = parsed->leader == name_ ? std::string{} : parsed->leader;
    }
}

bool LeaderElector::yielding() const {
    const std::lock_guard lock(mutex_);
    return clock_() < yielding_until_;
}

void LeaderElector::let_others_go_first() {
    const std::lock_guard lock(mutex_);
    yielding_until_ = clock_() + duration_cast<milliseconds>(lease_time_) + others_first;
}

void LeaderElector::take_over(const std::optional<LeaderKey>& former,
                              const std::optional<wire::LeadershipRecord>& view,
                              std::uint64_t leadership_record_revision, const Candidate& self) {
    const wire::LeadershipRecord next{view ? view->term + 1 : 1, name_,
                                      next_consecutive_restarts(view, self)};
    // Under the new lease in the same step: the key is never gone, so nobody else takes the role
    // without knowing of the former life that may not be over.
    const auto cas_result = store_.compare_and_swap(
        {{state::keys::leader, former ? former->mod_revision : 0},
         {state::keys::leadership_record, leadership_record_revision}},
        {{state::keys::leader, wire::Value{{"name", name_}, {"incarnation", incarnation_}},
          self.lease},
         {state::keys::leadership_record, wire::leadership_record(next), std::nullopt}});
    // An unanswered transaction may have made this controller the leader without its knowing, or
    // may still do so. Once its lease is ended for certain neither can last; else the lease runs
    // out.
    if (cas_result.outcome == state::StoreStatus::unknown) {
        step_down();
        const auto ended = store_.revoke_lease(self.lease);
        const bool certain = ended == state::StoreStatus::ok || ended == state::StoreStatus::absent;
        const std::lock_guard lock(mutex_);
        if (!certain) next_renewal_ = clock_() + duration_cast<milliseconds>(lease_time_);
        return;
    }
    if (cas_result.outcome != state::StoreStatus::ok) return;
    {
        const std::lock_guard lock(mutex_);
        // The lease that holds the key has been given up meanwhile.
        if (resigned_ || lease_ != self.lease) return;
        status_ = {next.term, name_, true, cas_result.revision};
        knows_leadership_record_ = true;
        leader_key_seen_ = cas_result.revision;
        // Guard: the life before may have ended before it ended the lease of its own former life.
        const auto doubt = view && view->consecutive_restarts > 0
                               ? clock_() + duration_cast<milliseconds>(lease_time_)
                               : Clock::time_point{};
        terminal_states_allowed_from_ = former ? Clock::time_point::max() : doubt;
        progress_ = false;
    }
    just_restarted_ = false;
    view_ = next;
    leadership_record_revision_ = cas_result.revision;
    if (former) former_lease_ = former->lease;
    spdlog::info("acting under epoch {}{}", next.term, former ? ", returned at once" : "");
    events_.on_elected(next.term, cas_result.revision);
}

// Once it is ended the former life, should it live, renews it no more.
void LeaderElector::end_former_lease() {
    if (!former_lease_) return;
    const auto ended = store_.revoke_lease(*former_lease_);
    if (ended != state::StoreStatus::ok && ended != state::StoreStatus::absent) return;
    former_lease_.reset();
    const std::lock_guard lock(mutex_);
    terminal_states_allowed_from_ = clock_() + duration_cast<milliseconds>(lease_time_);
}

// So that the next life's return is not counted with those that got nowhere.
void LeaderElector::record_progress() {
    const auto now = status();
    {
        const std::lock_guard lock(mutex_);
        if (!progress_) return;
    }
    if (!now.leading || view_.consecutive_restarts == 0 || view_.term != now.term) return;
    auto settled = view_;
    settled.consecutive_restarts = 0;
    const auto cas_result = store_.compare_and_swap(
        {{state::keys::leader, now.leader_key_revision},
         {state::keys::leadership_record, leadership_record_revision_}},
        {{state::keys::leadership_record, wire::leadership_record(settled), std::nullopt}});
    // A conflict: this very write went through unnoticed, or another controller acts.
    if (cas_result.outcome == state::StoreStatus::ok ||
        cas_result.outcome == state::StoreStatus::conflict)
        view_ = settled;
}

LeaderElector::Clock::time_point LeaderElector::terminal_states_allowed_from() const {
    const std::lock_guard lock(mutex_);
    return terminal_states_allowed_from_;
}

void LeaderElector::made_progress() {
    const std::lock_guard lock(mutex_);
    progress_ = true;
}

void LeaderElector::round(bool look_who_acts) {
    renew();
    end_former_lease();
    record_progress();
    if (look_who_acts) look();
}

void LeaderElector::run() {
    std::mt19937 random(static_cast<unsigned>(incarnation_));
    std::uniform_int_distribution<int> jitter(0, 100);
    auto next_look = clock_();
    for (;;) {
        const bool look_too = clock_() >= next_look;
        if (look_too) next_look = clock_() + look_every;
        round(look_too);
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, check_every + milliseconds(jitter(random) - 50),
                       [&] { return look_now_; });
        if (std::exchange(look_now_, false)) next_look = clock_();
    }
}

// Guard against nobody acting for longer than the lease asks for: polling alone notices an ended
// lease half its interval late, on average.
void LeaderElector::watch() {
    std::uint64_t since = 0;
    for (;;) {
        if (status().leading) {
            since = 0;
            std::this_thread::sleep_for(look_every);
            continue;
        }
        const auto news = since == 0 ? store_.list(state::keys::leader)
                                     : store_.watch(state::keys::leader, since, watch_wait);
        if (news.outcome == state::StoreStatus::ok) since = news.revision;
        if (news.outcome == state::StoreStatus::too_old) since = 0;
        {
            const std::lock_guard lock(mutex_);
            look_now_ = true;
            wake_.notify_one();
        }
        if (news.outcome != state::StoreStatus::ok) std::this_thread::sleep_for(watch_pause);
    }
}

void LeaderElector::yield_leadership() {
    let_others_go_first();
    std::optional<std::uint64_t> lease;
    {
        const std::lock_guard lock(mutex_);
        lease = lease_;
    }
    step_down();
    // Unanswered, it ends by itself: nobody renews it.
    if (lease) store_.revoke_lease(*lease);
}

void LeaderElector::resign() {
    std::optional<std::uint64_t> lease;
    {
        const std::lock_guard lock(mutex_);
        resigned_ = true;
        lease = lease_;
    }
    // First nothing is done or told any more in this role, then another may take it.
    step_down();
    if (lease) store_.revoke_lease(*lease);
}

}  // namespace bendspindle::leadership
