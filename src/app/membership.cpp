#include "app/membership.hpp"

#include <spdlog/spdlog.h>

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

}  // namespace

Membership::Membership(StateStore& store, std::string name, core::Seconds lease, Events events)
    : store_(store), name_(std::move(name)), lease_time_(lease), events_(std::move(events)) {
    std::random_device device;
    incarnation_ = (static_cast<std::uint64_t>(device()) << 16) ^ device();
}

Standing Membership::standing() const {
    const std::lock_guard lock(mutex_);
    return standing_;
}

bool Membership::lease_valid() const {
    const std::lock_guard lock(mutex_);
    return lease_.has_value() && Clock::now() < valid_until_;
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
    }
    if (!was_acting) return;
    spdlog::info("{} acts under epoch {}; acting no more", steward, epoch);
    events_.deposed();
}

void Membership::step_down() {
    bool was_acting = false;
    {
        const std::lock_guard lock(mutex_);
        lease_.reset();
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
    const auto sent = Clock::now();
    std::optional<std::uint64_t> lease;
    {
        const std::lock_guard lock(mutex_);
        if (sent < next_renewal_ || resigned_) return;
        lease = lease_;
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
    }
    const std::lock_guard lock(mutex_);
    if (resigned_) return;
    lease_ = lease;
    // The service counts from when it got the request; from its sending is the safe side.
    valid_until_ =
        sent + duration_cast<milliseconds>(lease_time_ * drift_allowance) - judgement_margin;
    next_renewal_ = sent + duration_cast<milliseconds>(lease_time_ / renewals_a_lease);
}

void Membership::look() {
    const auto before = standing();
    if (before.acting || !lease_valid()) return;
    const auto steward = store_.get(steward_key);
    if (steward.outcome == Outcome::absent) {
        take_over();
        return;
    }
    if (steward.outcome != Outcome::ok) return;
    {
        const std::lock_guard lock(mutex_);
        if (steward.entry.stamp == steward_seen_) return;
    }
    const auto view = store_.get(view_key);
    if (view.outcome != Outcome::ok) return;
    const auto parsed = wire::parse_view(view.entry.value);
    if (!parsed) return;
    const std::lock_guard lock(mutex_);
    steward_seen_ = steward.entry.stamp;
    if (parsed->epoch >= standing_.epoch) {
        standing_.epoch = parsed->epoch;
        standing_.steward = parsed->steward == name_ ? std::string{} : parsed->steward;
    }
}

void Membership::take_over() {
    const auto view = store_.get(view_key);
    std::uint64_t epoch = 0;
    std::uint64_t stamp = 0;
    if (view.outcome == Outcome::ok) {
        const auto parsed = wire::parse_view(view.entry.value);
        if (!parsed) {
            spdlog::error("the view in the state service cannot be read; not acting");
            return;
        }
        epoch = parsed->epoch;
        stamp = view.entry.stamp;
    } else if (view.outcome != Outcome::absent) {
        return;
    }
    std::optional<std::uint64_t> lease;
    {
        const std::lock_guard lock(mutex_);
        lease = lease_;
    }
    if (!lease) return;
    const auto next = epoch + 1;
    const auto txn = store_.transact(
        {{steward_key, 0}, {view_key, stamp}},
        {{steward_key, wire::Value{{"name", name_}, {"incarnation", incarnation_}}, *lease},
         {view_key, wire::view_record({next, name_}), std::nullopt}});
    // An unanswered transaction may have made this controller the steward without its knowing.
    // Its lease is given up then, so that the key goes away and somebody takes over in good order.
    if (txn.outcome == Outcome::unknown) {
        step_down();
        const std::lock_guard lock(mutex_);
        next_renewal_ = Clock::now() + duration_cast<milliseconds>(lease_time_);
        return;
    }
    if (txn.outcome != Outcome::ok) return;
    {
        const std::lock_guard lock(mutex_);
        // The lease that holds the key has been given up meanwhile.
        if (resigned_) return;
        standing_ = {next, name_, true, txn.revision};
        steward_seen_ = txn.revision;
    }
    spdlog::info("acting under epoch {}", next);
    events_.took_over(next, txn.revision);
}

void Membership::run() {
    std::mt19937 random(static_cast<unsigned>(incarnation_));
    std::uniform_int_distribution<int> jitter(0, 100);
    auto next_look = Clock::now();
    for (;;) {
        renew();
        if (Clock::now() >= next_look) {
            next_look = Clock::now() + look_every;
            look();
        }
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, check_every + milliseconds(jitter(random) - 50),
                       [&] { return look_now_; });
        if (std::exchange(look_now_, false)) next_look = Clock::now();
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
