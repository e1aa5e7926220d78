#include "state/state_writer.hpp"

#include <algorithm>
#include <iterator>
#include <thread>
#include <utility>

#include "io/guarded_step.hpp"
#include "io/log.hpp"
#include "state/transaction_size.hpp"
#include "wire/records.hpp"

namespace bendspindle::state {

namespace {

using std::chrono::milliseconds;
using Type = core::RecordWrite::Type;

constexpr milliseconds batching_time{25};
constexpr milliseconds max_wait{250};
constexpr milliseconds min_retry_delay{150};
constexpr milliseconds max_retry_delay{1500};
constexpr std::chrono::seconds quarantine_time{20};
// The share of the store's write rate that this writer uses; the rest is for leases and leadership
// records.
constexpr double budget_share = 0.8;

bool is_job(const core::RecordWrite& write) {
    return write.type == Type::put_job || write.type == Type::finish_job;
}

std::string key_of(const core::RecordWrite& write) {
    return is_job(write) ? keys::job(write.id) : keys::machine(write.id);
}

// Returns the operations of the write. The last of them writes the record, if any does.
std::vector<wire::Operation> operations_of(const core::RecordWrite& write) {
    switch (write.type) {
        case Type::put_job:
            return {{keys::job(write.id), wire::job_record(write.job), {}}};
        case Type::finish_job: {
            std::vector<wire::Operation> out;
            const bool replaces_open_record = write.mod_revision != 0;
            if (replaces_open_record) out.push_back({keys::job(write.id), std::nullopt, {}});
            out.push_back({keys::ended_job(write.id), wire::terminal_record(write.job), {}});
            return out;
        }
        case Type::put_machine:
            return {{keys::machine(write.id), wire::machine_record(write.machine), {}}};
        case Type::delete_machine:
            return {{keys::machine(write.id), std::nullopt, {}}};
    }
    return {};
}

bool condition_failed(const CasResult& result, const std::string& key) {
    return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
}

bool condition_failed(const CasResult& result, const core::RecordWrite& write) {
    return condition_failed(result, key_of(write)) ||
           (is_job(write) && condition_failed(result, keys::ended_job(write.id)));
}

}  // namespace

StateWriter::StateWriter(LeaderState& leader_state, KeyValueStore& store,
                         TerminalStateCache& terminal_states, config::StateLimits limits)
    : leader_state_(leader_state),
      store_(store),
      terminal_states_(terminal_states),
      limits_(limits),
      retry_delay_(min_retry_delay) {}

void StateWriter::run() {
    for (;;) io::run_guarded("state_writer", [this] { write_once(); });
}

void StateWriter::write_once() {
    wait_for_writes();
    const auto batch = collect_batch();
    if (!batch.writes.empty()) resolve_outcome(batch, commit(batch));
}

// Waits for a request, then for further writes to join the batch and for the write rate limit.
void StateWriter::wait_for_writes() {
    leader_state_.lock().wait_for_write_request(max_wait);
    std::this_thread::sleep_for(batching_time);
    std::this_thread::sleep_until(next_commit_);
}

StateWriter::Batch StateWriter::collect_batch() {
    auto access = leader_state_.lock();
    Batch batch;
    access.take_write_request();
    auto* const controller = access.controller();
    if (controller == nullptr) {
        possibly_recorded_.clear();
        return batch;
    }
    batch.term = controller->term();
    // Leadership is proven in the same transaction: after a failover the leader key has another
    // mod_revision, and a late write of this controller fails.
    batch.conditions.push_back({keys::leader, access.leader_key_revision()});
    const auto now = Clock::now();
    std::erase_if(quarantined_, [&](const auto& entry) { return entry.second <= now; });
    const auto max_writes = limits_.txn_ops + quarantined_.size() * 2;
    for (auto& write : controller->due_writes(max_writes, now)) {
        if (quarantined_.contains(write.id)) continue;
        if (add(std::move(write), batch) == AddResult::batch_full) break;
    }
    batch.terminal_states = controller->mark_sent(batch.writes);
    return batch;
}

// Adds a write if the batch has room. The first write always fits.
StateWriter::AddResult StateWriter::add(core::RecordWrite write, Batch& batch) const {
    static const wire::Value no_record;
    auto operations = operations_of(write);
    const auto& last = operations.back();
    const auto bytes = max_bytes_in_transaction(key_of(write), last.put ? *last.put : no_record);
    const bool full = batch.operations.size() + operations.size() > limits_.txn_ops ||
                      batch.bytes + bytes > max_transaction_bytes;
    if (!batch.writes.empty() && (full || single_writes_left_ > 0)) return AddResult::batch_full;
    batch.bytes += bytes;
    batch.conditions.push_back({key_of(write), write.mod_revision});
    if (write.type == Type::finish_job || (write.type == Type::put_job && write.mod_revision == 0))
        batch.conditions.push_back({keys::ended_job(write.id), 0});
    std::move(operations.begin(), operations.end(), std::back_inserter(batch.operations));
    batch.writes.push_back(std::move(write));
    return AddResult::added;
}

CasResult StateWriter::commit(const Batch& batch) {
    const std::chrono::duration<double> cost{static_cast<double>(batch.operations.size()) /
                                             (limits_.writes_per_s * budget_share)};
    next_commit_ = Clock::now() + std::chrono::duration_cast<Clock::duration>(cost);
    auto result = store_.compare_and_swap(batch.conditions, batch.operations);
    if (single_writes_left_ > 0) --single_writes_left_;
    return result;
}

void StateWriter::resolve_outcome(const Batch& batch, const CasResult& result) {
    switch (result.outcome) {
        case StoreStatus::ok:
            retry_delay_ = min_retry_delay;
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
            note_unknown_outcome(batch);
            break;
        case StoreStatus::absent:
        case StoreStatus::refused:
        case StoreStatus::too_old:
            resolve_rejected(batch);
            break;
    }
    // The writes were refused or got no response and are sent again.
    wait_before_retry();
}

void StateWriter::resolve_committed(const Batch& batch, std::uint64_t revision) {
    for (const auto& write : batch.writes)
        if (write.type == Type::finish_job)
            terminal_states_.put(write.id, write.job.terminal_state);
    for (const auto& write : batch.writes) possibly_recorded_.erase(write.id);
    auto access = leader_state_.lock();
    auto* const controller = access.controller_for_term(batch.term);
    if (controller == nullptr) return;
    for (const auto& write : batch.writes)
        if (write.type == Type::finish_job)
            access.job_watch_cursor().record_end(write.id, revision);
    controller->mark_committed(batch.writes, revision, Clock::now());
    access.notify_committed();
    access.request_placement();
}

// Handles writes that were certainly not executed: the former states still hold
// (StateWriter.ARejectedTerminalStateLeavesTheFormerState).
void StateWriter::resolve_rejected(const Batch& batch) {
    const auto access = leader_state_.lock();
    if (auto* const controller = access.controller_for_term(batch.term))
        controller->mark_rejected(batch.terminal_states);
}

// Guards against blocking all writes: one record that the store rejects as malformed, for example
// because it is too large, kept everything in the same transaction from ever being recorded. The
// writes are repeated one at a time. Of a write that is rejected alone, a job that was never
// recorded is refused, anything else is quarantined, and the others proceed
// (StateWriter.WritesTheOthersWhenOneIsCalledMalformed).
void StateWriter::resolve_malformed(const Batch& batch) {
    if (batch.writes.size() > 1) {
        single_writes_left_ = batch.writes.size();
        return;
    }
    const auto& write = batch.writes.front();
    const auto& id = write.id;
    if (write.type == Type::put_job && write.mod_revision == 0 && !possibly_recorded_.contains(id))
        return refuse_job(id, batch.term);
    io::log::error("write_quarantined", "id", id, "retry_s", quarantine_time.count());
    quarantined_[id] = Clock::now() + quarantine_time;
}

void StateWriter::note_unknown_outcome(const Batch& batch) {
    for (const auto& write : batch.writes)
        if (write.type == Type::put_job && write.mod_revision == 0)
            possibly_recorded_.insert(write.id);
}

void StateWriter::refuse_job(const std::string& id, std::uint64_t term) {
    io::log::error("job_refused", "id", id, "cause", "the_store_rejects_its_record");
    auto access = leader_state_.lock();
    auto* const controller = access.controller_for_term(term);
    if (controller == nullptr) return;
    controller->refuse(id);
    access.notify_committed();
}

// Waits with jitter, so that controllers do not retry at the same time after an outage.
void StateWriter::wait_before_retry() {
    std::uniform_int_distribution<std::int64_t> jitter(0, retry_delay_.count());
    std::this_thread::sleep_for(retry_delay_ + milliseconds(jitter(random_)));
    retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
}

// Handles a failed condition: an earlier write whose response was lost had been executed after all,
// or another controller is the leader. Reads and reconciles each record whose condition failed.
void StateWriter::reconcile_conflict(const Batch& batch, const CasResult& result) {
    if (condition_failed(result, keys::leader)) {
        io::log::info("write_rejected", "cause", "another_leader");
        std::this_thread::sleep_for(max_retry_delay);
        return;
    }
    for (const auto& write : batch.writes) {
        if (!condition_failed(result, write)) continue;
        const auto stored = read_stored(write);
        if (!stored) return;
        if (reconcile(write, *stored, batch.term) == ReconcileResult::deposed) return;
    }
}

std::optional<StateWriter::StoredRecord> StateWriter::read_stored(const core::RecordWrite& write) {
    const auto record = store_.get(key_of(write));
    if (record.outcome != StoreStatus::ok && record.outcome != StoreStatus::absent)
        return std::nullopt;
    StoredRecord stored;
    if (record.outcome == StoreStatus::ok) stored.mod_revision = record.entry.mod_revision;
    if (is_job(write)) {
        const auto terminal = store_.get(keys::ended_job(write.id));
        if (terminal.outcome != StoreStatus::ok && terminal.outcome != StoreStatus::absent)
            return std::nullopt;
        if (terminal.outcome == StoreStatus::ok) {
            stored.terminal_state = wire::parse_terminal_record(terminal.entry.value);
            stored.terminal_mod_revision = terminal.entry.mod_revision;
        }
    }
    // Guards against running the wrong job: of an id submitted with two bodies to two controllers
    // at the same time, the job that was not recorded first ran
    // (StateWriter.AnIdSubmittedWithTwoBodiesIsTheOneRecordedFirst). A record with a home was
    // written by a leader.
    if (write.type == Type::put_job && record.outcome == StoreStatus::ok)
        if (auto job = wire::parse_job_record(record.entry.value); job && job->home.empty())
            stored.admitted_by_follower = std::move(*job);
    return stored;
}

StateWriter::ReconcileResult StateWriter::reconcile(const core::RecordWrite& write,
                                                    const StoredRecord& stored,
                                                    std::uint64_t term) {
    if (stored.terminal_state) terminal_states_.put(write.id, *stored.terminal_state);
    auto access = leader_state_.lock();
    auto* const controller = access.controller_for_term(term);
    if (controller == nullptr) return ReconcileResult::deposed;
    // Guards against went_back: users get the state in the record, not the state of the rejected
    // write (StateWriter.TheTerminalRecordDecides).
    if (stored.terminal_state) {
        access.job_watch_cursor().record_end(write.id, stored.terminal_mod_revision);
        controller->apply_recorded_terminal_state(write.id, *stored.terminal_state, Clock::now());
    } else if (stored.admitted_by_follower) {
        controller->adopt_existing_record(*stored.admitted_by_follower, stored.mod_revision,
                                          Clock::now());
    } else {
        controller->set_mod_revision(write.type, write.id, stored.mod_revision);
    }
    access.notify_committed();
    return ReconcileResult::reconciled;
}

}  // namespace bendspindle::state
