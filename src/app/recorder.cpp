#include "app/recorder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <thread>

#include "wire/records.hpp"

namespace bendspindle::app {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds gather_time{25};
constexpr milliseconds look_anyway{250};
constexpr milliseconds pause_after_refusal{150};
constexpr milliseconds most_pause{1500};
constexpr std::size_t most_bytes = 56 * 1024;
constexpr std::chrono::seconds write_again{20};
// The writer keeps to this share of the change budget; the rest is for leases and views.
constexpr double budget_share = 0.8;

std::size_t size_of(const wire::Value& value) {
    return wire::to_cbor(value).size() * 2 + 100;
}

}  // namespace

Recorder::Recorder(Office& office, StateStore& store, FinalCache& finals, StateLimits limits)
    : office_(office), store_(store), finals_(finals), limits_(limits) {}

Recorder::Batch Recorder::gather() {
    const std::lock_guard lock(office_.mutex);
    auto batch = fill();
    if (office_.controller) batch.finals = office_.controller->sent(batch.changes);
    return batch;
}

void Recorder::not_executed(const Batch& batch) {
    const std::lock_guard lock(office_.mutex);
    if (office_.controller && office_.controller->epoch() == batch.epoch)
        office_.controller->not_executed(batch.finals);
}

// Needs the lock.
Recorder::Batch Recorder::fill() {
    Batch batch;
    office_.write_pending = false;
    if (!office_.controller) return batch;
    batch.epoch = office_.controller->epoch();
    // Ownership is proven in the same transaction: after a takeover the steward key has another
    // stamp, and a late write of this controller fails.
    batch.conditions.push_back({keys::steward, office_.steward_stamp});
    std::size_t bytes = 0;
    const auto now = Clock::now();
    std::erase_if(unwritable_, [&](const auto& entry) { return entry.second <= now; });
    const auto most = limits_.txn_ops + unwritable_.size() * 2;
    for (auto& change : office_.controller->changes(most, now)) {
        using What = core::Change::What;
        if (unwritable_.contains(change.id)) continue;
        const std::size_t operations = change.what == What::finish_job && change.stamp != 0 ? 2 : 1;
        const bool full = batch.operations.size() + operations > limits_.txn_ops;
        if (!batch.changes.empty() && (full || alone_ > 0)) return batch;
        switch (change.what) {
            case What::put_job: {
                auto record = wire::job_record(change.job);
                bytes += size_of(record);
                if (bytes > most_bytes && !batch.changes.empty()) return batch;
                batch.conditions.push_back({keys::job(change.id), change.stamp});
                if (change.stamp == 0) batch.conditions.push_back({keys::over(change.id), 0});
                batch.operations.push_back({keys::job(change.id), std::move(record), {}});
                break;
            }
            case What::finish_job:
                batch.conditions.push_back({keys::job(change.id), change.stamp});
                batch.conditions.push_back({keys::over(change.id), 0});
                if (change.stamp != 0)
                    batch.operations.push_back({keys::job(change.id), std::nullopt, {}});
                batch.operations.push_back(
                    {keys::over(change.id), wire::final_record(change.job), {}});
                break;
            case What::put_machine:
                batch.conditions.push_back({keys::machine(change.id), change.stamp});
                batch.operations.push_back(
                    {keys::machine(change.id), wire::machine_record(change.machine), {}});
                break;
            case What::drop_machine:
                batch.conditions.push_back({keys::machine(change.id), change.stamp});
                batch.operations.push_back({keys::machine(change.id), std::nullopt, {}});
                break;
        }
        batch.changes.push_back(std::move(change));
    }
    return batch;
}

void Recorder::settle(const Batch& batch, const Txn& txn) {
    for (const auto& change : batch.changes)
        if (change.what == core::Change::What::finish_job) finals_.put(change.id, change.job.final);
    const std::lock_guard lock(office_.mutex);
    if (!office_.controller || office_.controller->epoch() != batch.epoch) return;
    for (const auto& change : batch.changes)
        if (change.what == core::Change::What::finish_job)
            office_.news.ended(change.id, txn.revision);
    office_.controller->written(batch.changes, txn.revision, Clock::now());
    office_.recorded.notify_all();
    office_.want_place();
}

// Guard against a standstill of all writing: one record that the state service calls malformed, too
// large perhaps, kept everything written with it from being recorded, for ever. The changes are
// written one by one; what is refused alone waits, and the others go on.
void Recorder::find_unwritable(const Batch& batch) {
    if (batch.changes.size() > 1) {
        alone_ = batch.changes.size();
        return;
    }
    const auto& id = batch.changes.front().id;
    spdlog::error("the state service calls the record of {} malformed; set aside for a while", id);
    unwritable_[id] = Clock::now() + write_again;
}

// A condition did not hold: an earlier write whose answer was lost had been executed after all,
// or another controller acts. Each record in question is read and its stamp taken over.
void Recorder::read_back(const Batch& batch, const Txn& txn) {
    const auto failed = [&](const std::string& key) {
        return std::find(txn.failed.begin(), txn.failed.end(), key) != txn.failed.end();
    };
    if (failed(keys::steward)) {
        spdlog::info("a write was refused: another controller acts");
        std::this_thread::sleep_for(most_pause);
        return;
    }
    using What = core::Change::What;
    for (const auto& change : batch.changes) {
        const bool job = change.what == What::put_job || change.what == What::finish_job;
        const auto key = job ? keys::job(change.id) : keys::machine(change.id);
        if (!failed(key) && !(job && failed(keys::over(change.id)))) continue;
        const auto record = store_.get(key);
        if (record.outcome != Outcome::ok && record.outcome != Outcome::absent) return;
        std::optional<core::Final> final;
        std::uint64_t final_stamp = 0;
        if (job) {
            const auto over = store_.get(keys::over(change.id));
            if (over.outcome == Outcome::ok) {
                final = wire::parse_final(over.entry.value);
                final_stamp = over.entry.stamp;
            } else if (over.outcome != Outcome::absent) {
                return;
            }
        }
        if (final) finals_.put(change.id, *final);
        // Guard: an id submitted with two bodies, at two controllers at once, ran as the one that
        // was not recorded first.
        std::optional<core::JobRecord> elsewhere;
        if (change.what == What::put_job && record.outcome == Outcome::ok)
            elsewhere = wire::parse_job_record(record.entry.value);
        if (elsewhere && !elsewhere->home.empty()) elsewhere.reset();
        const std::lock_guard lock(office_.mutex);
        auto* controller = office_.controller.get();
        if (!controller || controller->epoch() != batch.epoch) return;
        if (final) office_.news.ended(change.id, final_stamp);
        // Guard against went_back: what is told of the job is what the record says, not what the
        // refused write would have said.
        if (final)
            controller->over_by_record(change.id, *final, Clock::now());
        else if (elsewhere)
            controller->found_elsewhere(*elsewhere, record.entry.stamp, Clock::now());
        else
            controller->restamp(change.what, change.id,
                                record.outcome == Outcome::ok ? record.entry.stamp : 0);
        office_.recorded.notify_all();
    }
}

void Recorder::run() {
    std::mt19937 random(std::random_device{}());
    milliseconds pause = pause_after_refusal;
    auto may_write = Clock::now();
    for (;;) {
        {
            std::unique_lock lock(office_.mutex);
            office_.write_wanted.wait_for(lock, look_anyway, [&] { return office_.write_pending; });
        }
        std::this_thread::sleep_for(gather_time);
        std::this_thread::sleep_until(may_write);
        const auto batch = gather();
        if (batch.changes.empty()) continue;
        const std::chrono::duration<double> cost{static_cast<double>(batch.operations.size()) /
                                                 (limits_.writes_per_s * budget_share)};
        may_write = Clock::now() + std::chrono::duration_cast<Clock::duration>(cost);
        const auto txn = store_.transact(batch.conditions, batch.operations);
        if (alone_ > 0) --alone_;
        if (txn.outcome == Outcome::ok) {
            pause = pause_after_refusal;
            settle(batch, txn);
            continue;
        }
        if (txn.outcome == Outcome::conflict) {
            read_back(batch, txn);
            continue;
        }
        if (txn.outcome != Outcome::unknown) not_executed(batch);
        if (txn.outcome == Outcome::invalid) {
            find_unwritable(batch);
            continue;
        }
        // Refused or unanswered: the same again after a pause with jitter, so that controllers
        // that come back from an outage together do not knock together.
        std::uniform_int_distribution<std::int64_t> jitter(0, pause.count());
        std::this_thread::sleep_for(pause + milliseconds(jitter(random)));
        pause = std::min(pause * 2, most_pause);
    }
}

}  // namespace bendspindle::app
