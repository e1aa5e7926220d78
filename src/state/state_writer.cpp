#include "state/state_writer.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include "io/log.hpp"
#include "wire/records.hpp"

namespace bendspindle::state {

namespace {

using std::chrono::milliseconds;
using Type = core::RecordWrite::Type;

constexpr milliseconds batching_time{25};
constexpr milliseconds longest_wait{250};
constexpr milliseconds first_pause{150};
constexpr milliseconds longest_pause{1500};
constexpr std::size_t most_bytes = 56 * 1024;
constexpr std::chrono::seconds quarantine_time{20};
// Of the budget of changes; the rest is for leases and leadership records.
constexpr double budget_share = 0.8;

// In a transaction's body, generously.
std::size_t size_in_transaction(const wire::Value& record) {
    return wire::to_cbor(record).size() * 2 + 100;
}

bool is_job(const core::RecordWrite& write) {
    return write.type == Type::put_job || write.type == Type::finish_job;
}

std::string key_of(const core::RecordWrite& write) {
    return is_job(write) ? keys::job(write.id) : keys::machine(write.id);
}

bool failed(const CasResult& result, const std::string& key) {
    return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
}

bool failed(const CasResult& result, const core::RecordWrite& write) {
    return failed(result, key_of(write)) || (is_job(write) && failed(result, keys::over(write.id)));
}

}  // namespace

StateWriter::StateWriter(LeaderState& leader_state, KeyValueStore& store,
                         TerminalStateCache& terminal_states, config::StateLimits limits)
    : leader_state_(leader_state),
      store_(store),
      terminal_states_(terminal_states),
      limits_(limits),
      pause_(first_pause) {}

void StateWriter::run() {
    for (;;) {
        wait_for_writes();
        const auto batch = collect_batch();
        if (batch.writes.empty()) continue;
        resolve_outcome(batch, commit(batch));
    }
}

// What comes together is written together, and within the budget.
void StateWriter::wait_for_writes() {
    leader_state_.lock().wait_for_write_request(longest_wait);
    std::this_thread::sleep_for(batching_time);
    std::this_thread::sleep_until(next_commit_);
}

StateWriter::Batch StateWriter::collect_batch() {
    auto access = leader_state_.lock();
    Batch batch;
    access.take_write_request();
    auto* const controller = access.controller();
    if (controller == nullptr) return batch;
    batch.term = controller->term();
    // Leadership is proven in the same transaction: after a failover the leader key has another
    // mod_revision, and a late write of this controller fails.
    batch.conditions.push_back({keys::leader, access.leader_key_revision()});
    const auto now = Clock::now();
    std::erase_if(quarantined_, [&](const auto& entry) { return entry.second <= now; });
    const auto most = limits_.txn_ops + quarantined_.size() * 2;
    for (auto& write : controller->due_writes(most, now)) {
        if (quarantined_.contains(write.id)) continue;
        if (add(std::move(write), batch) == Added::batch_full) break;
    }
    batch.terminal_states = controller->mark_sent(batch.writes);
    return batch;
}

// The first always has room.
StateWriter::Added StateWriter::add(core::RecordWrite write, Batch& batch) const {
    const bool replaces_open_record = write.type == Type::finish_job && write.mod_revision != 0;
    const std::size_t operations = replaces_open_record ? 2 : 1;
    const bool full = batch.operations.size() + operations > limits_.txn_ops;
    if (!batch.writes.empty() && (full || write_one_by_one_ > 0)) return Added::batch_full;
    const wire::Condition unchanged{key_of(write), write.mod_revision};
    switch (write.type) {
        case Type::put_job: {
            auto record = wire::job_record(write.job);
            batch.job_record_bytes += size_in_transaction(record);
            if (batch.job_record_bytes > most_bytes && !batch.writes.empty())
                return Added::batch_full;
            batch.conditions.push_back(unchanged);
            if (write.mod_revision == 0) batch.conditions.push_back({keys::over(write.id), 0});
            batch.operations.push_back({keys::job(write.id), std::move(record), {}});
            break;
        }
        case Type::finish_job:
            batch.conditions.push_back(unchanged);
            batch.conditions.push_back({keys::over(write.id), 0});
            if (replaces_open_record)
                batch.operations.push_back({keys::job(write.id), std::nullopt, {}});
            batch.operations.push_back(
                {keys::over(write.id), wire::terminal_record(write.job), {}});
            break;
        case Type::put_machine:
            batch.conditions.push_back(unchanged);
            batch.operations.push_back(
                {keys::machine(write.id), wire::machine_record(write.machine), {}});
            break;
        case Type::delete_machine:
            batch.conditions.push_back(unchanged);
            batch.operations.push_back({keys::machine(write.id), std::nullopt, {}});
            break;
    }
    batch.writes.push_back(std::move(write));
    return Added::added;
}

CasResult StateWriter::commit(const Batch& batch) {
    const std::chrono::duration<double> cost{static_cast<double>(batch.operations.size()) /
                                             (limits_.writes_per_s * budget_share)};
    next_commit_ = Clock::now() + std::chrono::duration_cast<Clock::duration>(cost);
    auto result = store_.compare_and_swap(batch.conditions, batch.operations);
    if (write_one_by_one_ > 0) --write_one_by_one_;
    return result;
}

void StateWriter::resolve_outcome(const Batch& batch, const CasResult& result) {
    switch (result.outcome) {
        case StoreStatus::ok:
            pause_ = first_pause;
            resolve_committed(batch, result.revision);
            return;
        case StoreStatus::conflict:
            reconcile_conflict(batch, result);
            return;
        case StoreStatus::invalid:
            resolve_rejected(batch);
            resolve_malformed(batch);
            return;
        case StoreStatus::unknown:
            break;
        case StoreStatus::absent:
        case StoreStatus::refused:
        case StoreStatus::too_old:
            resolve_rejected(batch);
            break;
    }
    // Refused or unanswered: the same again.
    pause_with_jitter();
}

void StateWriter::resolve_committed(const Batch& batch, std::uint64_t revision) {
    for (const auto& write : batch.writes)
        if (write.type == Type::finish_job)
            terminal_states_.put(write.id, write.job.terminal_state);
    auto access = leader_state_.lock();
    auto* const controller = access.controller_of(batch.term);
    if (controller == nullptr) return;
    for (const auto& write : batch.writes)
        if (write.type == Type::finish_job) access.job_watch_cursor().ended(write.id, revision);
    controller->mark_committed(batch.writes, revision, Clock::now());
    access.notify_committed();
    access.request_placement();
}

// Not executed for certain: the states before hold
// (StateWriter.ARejectedTerminalStateLeavesTheFormerState).
void StateWriter::resolve_rejected(const Batch& batch) {
    const auto access = leader_state_.lock();
    if (auto* const controller = access.controller_of(batch.term))
        controller->mark_rejected(batch.terminal_states);
}

// Guard against a standstill of all writing: one record that the store calls malformed, too large
// perhaps, kept everything written with it from being recorded, for ever. The writes go one by one;
// what is rejected alone is quarantined, and the others go on
// (StateWriter.WritesTheOthersWhenOneIsCalledMalformed).
void StateWriter::resolve_malformed(const Batch& batch) {
    if (batch.writes.size() > 1) {
        write_one_by_one_ = batch.writes.size();
        return;
    }
    const auto& id = batch.writes.front().id;
    io::log::error("write_quarantined", "id", id, "retry_s", quarantine_time.count());
    quarantined_[id] = Clock::now() + quarantine_time;
}

// With jitter, so that controllers that come back from an outage together do not call together.
void StateWriter::pause_with_jitter() {
    std::uniform_int_distribution<std::int64_t> jitter(0, pause_.count());
    std::this_thread::sleep_for(pause_ + milliseconds(jitter(random_)));
    pause_ = std::min(pause_ * 2, longest_pause);
}

// A condition did not hold: an earlier write whose answer was lost had been executed after all,
// or another controller is the leader. Each record in question is read and reconciled.
void StateWriter::reconcile_conflict(const Batch& batch, const CasResult& result) {
    if (failed(result, keys::leader)) {
        io::log::info("write_rejected", "cause", "another_leader");
        std::this_thread::sleep_for(longest_pause);
        return;
    }
    for (const auto& write : batch.writes) {
        if (!failed(result, write)) continue;
        const auto stored = read_stored(write);
        if (!stored) return;
        if (reconcile(write, *stored, batch.term) == Reconciled::deposed) return;
    }
}

std::optional<StateWriter::StoredRecord> StateWriter::read_stored(const core::RecordWrite& write) {
    const auto record = store_.get(key_of(write));
    if (record.outcome != StoreStatus::ok && record.outcome != StoreStatus::absent)
        return std::nullopt;
    StoredRecord stored;
    if (record.outcome == StoreStatus::ok) stored.mod_revision = record.entry.mod_revision;
    if (is_job(write)) {
        const auto over = store_.get(keys::over(write.id));
        if (over.outcome != StoreStatus::ok && over.outcome != StoreStatus::absent)
            return std::nullopt;
        if (over.outcome == StoreStatus::ok) {
            stored.terminal_state = wire::parse_terminal_record(over.entry.value);
            stored.terminal_mod_revision = over.entry.mod_revision;
        }
    }
    // Guard: an id submitted with two bodies, at two controllers at once, ran as the one that was
    // not recorded first (StateWriter.AnIdSubmittedWithTwoBodiesIsTheOneRecordedFirst). A record
    // with a home was written by a leader.
    if (write.type == Type::put_job && record.outcome == StoreStatus::ok)
        if (auto job = wire::parse_job_record(record.entry.value); job && job->home.empty())
            stored.admitted_by_follower = std::move(*job);
    return stored;
}

StateWriter::Reconciled StateWriter::reconcile(const core::RecordWrite& write,
                                               const StoredRecord& stored, std::uint64_t term) {
    if (stored.terminal_state) terminal_states_.put(write.id, *stored.terminal_state);
    auto access = leader_state_.lock();
    auto* const controller = access.controller_of(term);
    if (controller == nullptr) return Reconciled::deposed;
    // Guard against went_back: users are answered with what the record says, not with what the
    // rejected write would have said (StateWriter.TheTerminalRecordDecides).
    if (stored.terminal_state) {
        access.job_watch_cursor().ended(write.id, stored.terminal_mod_revision);
        controller->apply_recorded_terminal_state(write.id, *stored.terminal_state, Clock::now());
    } else if (stored.admitted_by_follower) {
        controller->adopt_existing_record(*stored.admitted_by_follower, stored.mod_revision,
                                          Clock::now());
    } else {
        controller->set_mod_revision(write.type, write.id, stored.mod_revision);
    }
    access.notify_committed();
    return Reconciled::yes;
}

}  // namespace bendspindle::state
