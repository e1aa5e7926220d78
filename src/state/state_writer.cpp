#include "state/state_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <thread>

#include "wire/records.hpp"

namespace bendspindle::state {

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

StateWriter::StateWriter(LeaderState& leader_state, KeyValueStore& store,
                         TerminalStateCache& terminal_states, config::StateLimits limits)
    : leader_state_(leader_state),
      store_(store),
      terminal_states_(terminal_states),
      limits_(limits) {}

StateWriter::Batch StateWriter::gather() {
    auto access = leader_state_.lock();
    auto batch = fill(access);
    if (access.controller()) batch.terminal_states = access.controller()->sent(batch.changes);
    return batch;
}

void StateWriter::not_executed(const Batch& batch) {
    auto access = leader_state_.lock();
    if (access.controller() && access.controller()->term() == batch.term)
        access.controller()->not_executed(batch.terminal_states);
}

// Needs the lock.
StateWriter::Batch StateWriter::fill(LeaderState::Access& access) {
    Batch batch;
    access.take_write_request();
    if (!access.controller()) return batch;
    batch.term = access.controller()->term();
    // Ownership is proven in the same transaction: after a takeover the leader key has another
    // mod_revision, and a late write of this controller fails.
    batch.conditions.push_back({keys::leader, access.leader_key_revision()});
    std::size_t bytes = 0;
    const auto now = Clock::now();
    std::erase_if(unwritable_, [&](const auto& entry) { return entry.second <= now; });
    const auto most = limits_.txn_ops + unwritable_.size() * 2;
    for (auto& change : access.controller()->changes(most, now)) {
        using Type = core::RecordWrite::Type;
        if (unwritable_.contains(change.id)) continue;
        const std::size_t operations =
            change.type == Type::finish_job && change.mod_revision != 0 ? 2 : 1;
        const bool full = batch.operations.size() + operations > limits_.txn_ops;
        if (!batch.changes.empty() && (full || alone_ > 0)) return batch;
        switch (change.type) {
            case Type::put_job: {
                auto record = wire::job_record(change.job);
                bytes += size_of(record);
                if (bytes > most_bytes && !batch.changes.empty()) return batch;
                batch.conditions.push_back({keys::job(change.id), change.mod_revision});
                if (change.mod_revision == 0)
                    batch.conditions.push_back({keys::over(change.id), 0});
                batch.operations.push_back({keys::job(change.id), std::move(record), {}});
                break;
            }
            case Type::finish_job:
                batch.conditions.push_back({keys::job(change.id), change.mod_revision});
                batch.conditions.push_back({keys::over(change.id), 0});
                if (change.mod_revision != 0)
                    batch.operations.push_back({keys::job(change.id), std::nullopt, {}});
                batch.operations.push_back(
                    {keys::over(change.id), wire::terminal_record(change.job), {}});
                break;
            case Type::put_machine:
                batch.conditions.push_back({keys::machine(change.id), change.mod_revision});
                batch.operations.push_back(
                    {keys::machine(change.id), wire::machine_record(change.machine), {}});
                break;
            case Type::drop_machine:
                batch.conditions.push_back({keys::machine(change.id), change.mod_revision});
                batch.operations.push_back({keys::machine(change.id), std::nullopt, {}});
                break;
        }
        batch.changes.push_back(std::move(change));
    }
    return batch;
}

void StateWriter::settle(const Batch& batch, const CasResult& cas_result) {
    for (const auto& change : batch.changes)
        if (change.type == core::RecordWrite::Type::finish_job)
            terminal_states_.put(change.id, change.job.terminal_state);
    auto access = leader_state_.lock();
    if (!access.controller() || access.controller()->term() != batch.term) return;
    for (const auto& change : batch.changes)
        if (change.type == core::RecordWrite::Type::finish_job)
            access.job_watch_cursor().ended(change.id, cas_result.revision);
    access.controller()->written(batch.changes, cas_result.revision, Clock::now());
    access.notify_committed();
    access.request_placement();
}

// Guard against a standstill of all writing: one record that the state service calls malformed, too
// large perhaps, kept everything written with it from being recorded, for ever. The changes are
// written one by one; what is refused alone waits, and the others go on.
void StateWriter::find_unwritable(const Batch& batch) {
    if (batch.changes.size() > 1) {
        alone_ = batch.changes.size();
        return;
    }
    const auto& id = batch.changes.front().id;
    spdlog::error("the state service calls the record of {} malformed; set aside for a while", id);
    unwritable_[id] = Clock::now() + write_again;
}

// A condition did not hold: an earlier write whose answer was lost had been executed after all,
// or another controller acts. Each record in question is read and its mod_revision taken over.
void StateWriter::read_back(const Batch& batch, const CasResult& cas_result) {
    const auto failed = [&](const std::string& key) {
        return std::find(cas_result.failed.begin(), cas_result.failed.end(), key) !=
               cas_result.failed.end();
    };
    if (failed(keys::leader)) {
        spdlog::info("a write was refused: another controller acts");
        std::this_thread::sleep_for(most_pause);
        return;
    }
    using Type = core::RecordWrite::Type;
    for (const auto& change : batch.changes) {
        const bool job = change.type == Type::put_job || change.type == Type::finish_job;
        const auto key = job ? keys::job(change.id) : keys::machine(change.id);
        if (!failed(key) && !(job && failed(keys::over(change.id)))) continue;
        const auto record = store_.get(key);
        if (record.outcome != StoreStatus::ok && record.outcome != StoreStatus::absent) return;
        std::optional<core::TerminalState> terminal_state;
        std::uint64_t terminal_mod_revision = 0;
        if (job) {
            const auto over = store_.get(keys::over(change.id));
            if (over.outcome == StoreStatus::ok) {
                terminal_state = wire::parse_terminal_record(over.entry.value);
                terminal_mod_revision = over.entry.mod_revision;
            } else if (over.outcome != StoreStatus::absent) {
                return;
            }
        }
        if (terminal_state) terminal_states_.put(change.id, *terminal_state);
        // Guard: an id submitted with two bodies, at two controllers at once, ran as the one that
        // was not recorded first.
        std::optional<core::JobRecord> elsewhere;
        if (change.type == Type::put_job && record.outcome == StoreStatus::ok)
            elsewhere = wire::parse_job_record(record.entry.value);
        if (elsewhere && !elsewhere->home.empty()) elsewhere.reset();
        auto access = leader_state_.lock();
        auto* controller = access.controller();
        if (!controller || controller->term() != batch.term) return;
        if (terminal_state) access.job_watch_cursor().ended(change.id, terminal_mod_revision);
        // Guard against went_back: what is told of the job is what the record says, not what the
        // refused write would have said.
        if (terminal_state)
            controller->finished_by_record(change.id, *terminal_state, Clock::now());
        else if (elsewhere)
            controller->found_elsewhere(*elsewhere, record.entry.mod_revision, Clock::now());
        else
            controller->set_mod_revision(
                change.type, change.id,
                record.outcome == StoreStatus::ok ? record.entry.mod_revision : 0);
        access.notify_committed();
    }
}

void StateWriter::run() {
    std::mt19937 random(std::random_device{}());
    milliseconds pause = pause_after_refusal;
    auto may_write = Clock::now();
    for (;;) {
        {
            auto access = leader_state_.lock();
            access.wait_for_write_request(look_anyway);
        }
        std::this_thread::sleep_for(gather_time);
        std::this_thread::sleep_until(may_write);
        const auto batch = gather();
        if (batch.changes.empty()) continue;
        const std::chrono::duration<double> cost{static_cast<double>(batch.operations.size()) /
                                                 (limits_.writes_per_s * budget_share)};
        may_write = Clock::now() + std::chrono::duration_cast<Clock::duration>(cost);
        const auto cas_result = store_.compare_and_swap(batch.conditions, batch.operations);
        if (alone_ > 0) --alone_;
        if (cas_result.outcome == StoreStatus::ok) {
            pause = pause_after_refusal;
            settle(batch, cas_result);
            continue;
        }
        if (cas_result.outcome == StoreStatus::conflict) {
            read_back(batch, cas_result);
            continue;
        }
        if (cas_result.outcome != StoreStatus::unknown) not_executed(batch);
        if (cas_result.outcome == StoreStatus::invalid) {
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

}  // namespace bendspindle::state
