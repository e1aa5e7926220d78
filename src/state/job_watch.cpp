#include "state/job_watch.hpp"

#include <chrono>
#include <thread>
#include <utility>

#include "io/guarded_step.hpp"
#include "state/keys.hpp"
#include "wire/records.hpp"

namespace bendspindle::state {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds max_watch_duration{10'000};
// This controller's own writes also end a watch; the pause lets several events arrive together.
constexpr milliseconds pause_between_watches{100};

}  // namespace

JobWatch::JobWatch(KeyValueStore& store, LeaderState& leader_state,
                   std::function<bool()> lease_valid)
    : store_(store), leader_state_(leader_state), lease_valid_(std::move(lease_valid)) {}

void JobWatch::run() {
    for (;;) {
        io::run_guarded("job_watch", [this] { watch_once(); });
        std::this_thread::sleep_for(pause_between_watches);
    }
}

void JobWatch::watch_once() {
    std::uint64_t term = 0;
    std::uint64_t since = 0;
    {
        const auto access = leader_state_.lock();
        if (access.controller() == nullptr) return;
        term = access.controller()->term();
        since = access.job_watch_cursor().revision();
    }
    auto events = store_.watch(keys::jobs, since, max_watch_duration);
    if (events.outcome == StoreStatus::too_old) events = store_.list(keys::jobs);
    if (events.outcome == StoreStatus::ok) adopt(events.entries, events.revision, term);
}

void JobWatch::adopt(const std::vector<wire::Entry>& entries, std::uint64_t revision,
                     std::uint64_t term) {
    auto access = leader_state_.lock();
    auto* const controller = access.controller_for_term(term);
    if (controller == nullptr) return;
    // Guards against ran_twice: without a valid lease another controller may already lead, and it
    // would assume that this one did not know the newer records. They are read again later.
    if (!lease_valid_()) return;
    auto& cursor = access.job_watch_cursor();
    bool any_adopted = false;
    for (const auto& entry : entries) {
        const auto record = wire::parse_job_record(entry.value);
        // Guards against running a finished job again and reporting it as open: the event of a
        // record that this controller wrote, or whose job has ended, may arrive late
        // (JobWatchCursor.ALateEventAdoptsNoEndedJob,
        // ReadConsistencySmallCache.ALateWatchEventRestartsNoEndedJob).
        if (!record || !record->home.empty()) continue;
        if (!cursor.is_new(record->spec.id, entry.mod_revision)) continue;
        any_adopted |= controller->adopt(*record, entry.mod_revision, Clock::now());
    }
    cursor.advance_to(revision);
    if (any_adopted) access.request_placement();
}

bool JobWatch::adopt_job(const std::string& id, std::uint64_t term) {
    const auto open = store_.get(keys::job(id));
    if (open.outcome != StoreStatus::ok) return false;
    constexpr std::uint64_t cursor_unchanged = 0;
    adopt({open.entry}, cursor_unchanged, term);
    const auto access = leader_state_.lock();
    const auto* const controller = access.controller_for_term(term);
    return controller != nullptr && controller->knows(id);
}

}  // namespace bendspindle::state
