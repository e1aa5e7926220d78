#include "app/membership.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

namespace bendspindle::app {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr const char* steward_key = "steward";
constexpr const char* view_key = "view";
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

Membership::Membership(StateStore& store, std::string name, core::Seconds lease, Events events,
                       ClockFunction clock)
    : store_(store),
      name_(std::move(name)),
      lease_time_(lease),
      events_(std::move(events)),
      clock_(std::move(clock)) {
    std::random_device device;
    incarnation_ = (static_cast<std::uint64_t>(device()) << 16) ^ device();
}

Standing Membership::standing() const {
    const std::lock_guard lock(mutex_);
    return standing_;
}

bool Membership::lease_valid() const {
    const std::lock_guard lock(mutex_);
    return lease_.has_value() && clock_() < valid_until_;
}

Membership::Clock::time_point Membership::lease_end() const {
    const std::lock_guard lock(mutex_);
    return valid_until_;
}

bool Membership::knows_view() const {
    const std::lock_guard lock(mutex_);
    return knows_view_;
}

void Membership::suspect(std::uint64_t epoch) {
    const std::lock_guard lock(mutex_);
    if (epoch <= standing_.epoch) return;
    steward_seen_ = 0;
    look_now_ = true;
    wake_.notify_one();
}

void Membership::heard(std::uint64_t epoch, const std::string& steward) {
    bool was_acting = false;
    {
        const std::lock_guard lock(mutex_);
        if (epoch <= standing_.epoch) return;
        was_acting = standing_.acting;
        standing_ = {epoch, steward, false, 0};
        if (steward.empty()) {
            steward_seen_ = 0;
            look_now_ = true;
            wake_.notify_one();
        }
    }
    if (!was_acting) return;
    spdlog::info("{} acts under epoch {}; acting no more", steward.empty() ? "another" : steward,
                 epoch);
    events_.deposed();
}

void Membership::step_down() {
    bool was_acting = false;
    {
        const std::lock_guard lock(mutex_);
        lease_.reset();
        // Given up before its time, another may act at once.
        valid_until_ = std::min(valid_until_, clock_());
        was_acting = standing_.acting;
        standing_.acting = false;
        if (was_acting) standing_.steward.clear();
    }
    if (was_acting) {
        spdlog::info("lost the steward's lease; acting no more");
        events_.deposed();
    }
}

void Membership::renew() {
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
        const auto granted = store_.grant(life);
        if (!granted) return;
        const auto put = store_.transact(
            {}, {{"controller/" + name_, wire::Value{{"incarnation", incarnation_}}, *granted}});
        if (put.outcome != Outcome::ok) return;
        lease = granted;
    } else {
        const auto outcome = store_.touch(*lease);
        if (outcome == Outcome::absent) {
            step_down();
            return;
        }
        if (outcome != Outcome::ok) return;
        // Guard against a former life that goes on: its lease may live while another life of its
        // name has put its own key over the one that the lease was for. Without this it would tell
        // users what it knew for as long as it renews.
        if (const auto now = standing(); now.acting) {
            const auto holds = holds_key(now.steward_stamp);
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

std::optional<bool> Membership::holds_key(std::uint64_t stamp) {
    const auto key = store_.get(steward_key);
    if (key.outcome == Outcome::absent) return false;
    if (key.outcome != Outcome::ok) return std::nullopt;
    return key.entry.stamp == stamp;
}

void Membership::look() {
    const auto before = standing();
    if (before.acting || !lease_valid()) return;
    const auto steward = store_.get(steward_key);
    std::optional<StewardKey> key;
    if (steward.outcome == Outcome::ok) {
        const auto& entry = steward.entry;
        key = StewardKey{entry.value.value("name", std::string()), entry.lease, entry.stamp};
        const std::lock_guard lock(mutex_);
        if (entry.stamp == steward_seen_) return;
    } else if (steward.outcome != Outcome::absent) {
        return;
    }
    const auto view = store_.get(view_key);
    if (view.outcome != Outcome::ok && view.outcome != Outcome::absent) return;
    std::optional<wire::ViewRecord> parsed;
    if (view.outcome == Outcome::ok) {
        parsed = wire::parse_view(view.entry.value);
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
    const Candidate self{name_, *lease, just_returned_, gave_way_};
    switch (succession(key, parsed, self)) {
        case Succession::follow:
            break;
        case Succession::take:
        case Succession::come_back:
            if (!giving_way()) take_over(key, parsed, parsed ? view.entry.stamp : 0, self);
            return;
        case Succession::give_way:
            spdlog::error("ended {} times soon after taking the role; others go first",
                          parsed->returns);
            gave_way_ = true;
            let_others_go_first();
            return;
    }
    if (!parsed) return;
    just_returned_ = false;
    const std::lock_guard lock(mutex_);
    knows_view_ = true;
    steward_seen_ = steward.entry.stamp;
    if (parsed->epoch >= standing_.epoch) {
        standing_.epoch = parsed->epoch;
        standing_.steward = parsed->steward == name_ ? std::string{} : parsed->steward;
    }
}

bool Membership::giving_way() const {
    const std::lock_guard lock(mutex_);
    return clock_() < giving_way_until_;
}

void Membership::let_others_go_first() {
    const std::lock_guard lock(mutex_);
    giving_way_until_ = clock_() + duration_cast<milliseconds>(lease_time_) + others_first;
}

void Membership::take_over(const std::optional<StewardKey>& former,
                           const std::optional<wire::ViewRecord>& view, std::uint64_t view_stamp,
                           const Candidate& self) {
    const wire::ViewRecord next{view ? view->epoch + 1 : 1, name_, returns_of_next(view, self)};
    // Under the new lease in the same step: the key is never gone, so nobody else takes the role
    // without knowing of the former life that may not be over.
    const auto txn = store_.transact(
        {{steward_key, former ? former->stamp : 0}, {view_key, view_stamp}},
        {{steward_key, wire::Value{{"name", name_}, {"incarnation", incarnation_}}, self.lease},
         {view_key, wire::view_record(next), std::nullopt}});
    // An unanswered transaction may have made this controller the steward without its knowing, or
    // may still do so. Once its lease is ended for certain neither can last; else the lease runs
    // out.
    if (txn.outcome == Outcome::unknown) {
        step_down();
        const auto ended = store_.revoke(self.lease);
        const bool certain = ended == Outcome::ok || ended == Outcome::absent;
        const std::lock_guard lock(mutex_);
        if (!certain) next_renewal_ = clock_() + duration_cast<milliseconds>(lease_time_);
        return;
    }
    if (txn.outcome != Outcome::ok) return;
    {
        const std::lock_guard lock(mutex_);
        // The lease that holds the key has been given up meanwhile.
        if (resigned_ || lease_ != self.lease) return;
        standing_ = {next.epoch, name_, true, txn.revision};
        knows_view_ = true;
        steward_seen_ = txn.revision;
        // Guard: the life before may have ended before it ended the lease of its own former life.
        const auto doubt = view && view->returns > 0
                               ? clock_() + duration_cast<milliseconds>(lease_time_)
                               : Clock::time_point{};
        finals_from_ = former ? Clock::time_point::max() : doubt;
        progress_ = false;
    }
    just_returned_ = false;
    view_ = next;
    view_stamp_ = txn.revision;
    if (former) former_lease_ = former->lease;
    spdlog::info("acting under epoch {}{}", next.epoch, former ? ", returned at once" : "");
    events_.took_over(next.epoch, txn.revision);
}

// Once it is ended the former life, should it live, renews it no more.
void Membership::end_former_lease() {
    if (!former_lease_) return;
    const auto ended = store_.revoke(*former_lease_);
    if (ended != Outcome::ok && ended != Outcome::absent) return;
    former_lease_.reset();
    const std::lock_guard lock(mutex_);
    finals_from_ = clock_() + duration_cast<milliseconds>(lease_time_);
}

// So that the next life's return is not counted with those that got nowhere.
void Membership::record_progress() {
    const auto now = standing();
    {
        const std::lock_guard lock(mutex_);
        if (!progress_) return;
    }
    if (!now.acting || view_.returns == 0 || view_.epoch != now.epoch) return;
    auto settled = view_;
    settled.returns = 0;
    const auto txn = store_.transact({{steward_key, now.steward_stamp}, {view_key, view_stamp_}},
                                     {{view_key, wire::view_record(settled), std::nullopt}});
    // A conflict: this very write went through unnoticed, or another controller acts.
    if (txn.outcome == Outcome::ok || txn.outcome == Outcome::conflict) view_ = settled;
}

Membership::Clock::time_point Membership::finals_from() const {
    const std::lock_guard lock(mutex_);
    return finals_from_;
}

void Membership::made_progress() {
    const std::lock_guard lock(mutex_);
    progress_ = true;
}

void Membership::round(bool look_who_acts) {
    renew();
    end_former_lease();
    record_progress();
    if (look_who_acts) look();
}

void Membership::run() {
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
void Membership::watch() {
    std::uint64_t since = 0;
    for (;;) {
        if (standing().acting) {
            since = 0;
            std::this_thread::sleep_for(look_every);
            continue;
        }
        const auto news =
            since == 0 ? store_.list(steward_key) : store_.watch(steward_key, since, watch_wait);
        if (news.outcome == Outcome::ok) since = news.revision;
        if (news.outcome == Outcome::too_old) since = 0;
        {
            const std::lock_guard lock(mutex_);
            look_now_ = true;
            wake_.notify_one();
        }
        if (news.outcome != Outcome::ok) std::this_thread::sleep_for(watch_pause);
    }
}

void Membership::give_way() {
    let_others_go_first();
    std::optional<std::uint64_t> lease;
    {
        const std::lock_guard lock(mutex_);
        lease = lease_;
    }
    step_down();
    // Unanswered, it ends by itself: nobody renews it.
    if (lease) store_.revoke(*lease);
}

void Membership::resign() {
    std::optional<std::uint64_t> lease;
    {
        const std::lock_guard lock(mutex_);
        resigned_ = true;
        lease = lease_;
    }
    // First nothing is done or told any more in this role, then another may take it.
    step_down();
    if (lease) store_.revoke(*lease);
}

}  // namespace bendspindle::app
