#include "state/job_admission.hpp"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "io/guarded_step.hpp"
#include "state/keys.hpp"
#include "state/transaction_size.hpp"
#include "wire/records.hpp"

namespace bendspindle::state {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds batching_time{10};
constexpr milliseconds admission_timeout{2500};  // user requests time out after 5 s
constexpr milliseconds min_retry_delay{100};
constexpr std::size_t max_transaction_entries = 24;  // the leader writes as well
// The share of the store's write rate that admissions on one controller may use. All controllers
// share that rate.
constexpr double budget_share = 0.4;

// Returns a delay with jitter, so that several controllers do not retry at the same time.
milliseconds jittered_retry_delay() {
    static thread_local std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> jitter(0, static_cast<int>(min_retry_delay.count()));
    return min_retry_delay + milliseconds(jitter(random));
}

bool condition_failed(const CasResult& result, const std::string& key) {
    return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
}

}  // namespace

JobAdmission::JobAdmission(KeyValueStore& store, config::StateLimits limits)
    : store_(store), limits_(limits) {}

JobAdmission::Answer JobAdmission::admit(const core::JobRecord& record) {
    auto entry = std::make_shared<Entry>();
    entry->id = record.spec.id;
    entry->record = wire::job_record(record);
    entry->bytes = max_bytes_in_transaction(keys::job(entry->id), entry->record);
    entry->deadline = Clock::now() + admission_timeout;
    std::unique_lock lock(mutex_);
    waiting_.push_back(entry);
    entry_added_.notify_one();
    entry_resolved_.wait_until(lock, entry->deadline, [&] { return entry->outcome.has_value(); });
    return {entry->outcome.value_or(Result::failed), entry->sent_at};
}

void JobAdmission::run() {
    for (;;)
        io::run_guarded("job_admission", [this] {
            wait_for_entries();
            const auto batch = collect_batch();
            if (!batch.empty()) write_batch(batch);
        });
}

void JobAdmission::wait_for_entries() {
    {
        std::unique_lock lock(mutex_);
        entry_added_.wait(lock, [&] { return !waiting_.empty(); });
    }
    std::this_thread::sleep_for(batching_time);
}

JobAdmission::Batch JobAdmission::collect_batch() {
    // One record that the store rejected as malformed made every transaction with it fail until the
    // users of the other jobs timed out. After such a rejection the entries are written one at a
    // time (JobAdmission.AdmitsTheOthersWhenOneIsCalledMalformed).
    const auto max_entries = single_writes_left_ > 0
                                 ? std::size_t{1}
                                 : std::min(limits_.txn_ops, max_transaction_entries);
    if (single_writes_left_ > 0) --single_writes_left_;
    Batch batch;
    std::size_t bytes = 0;
    const std::lock_guard lock(mutex_);
    while (!waiting_.empty() && batch.size() < max_entries) {
        bytes += waiting_.front()->bytes;
        if (bytes > max_transaction_bytes && !batch.empty()) break;
        auto entry = std::move(waiting_.front());
        waiting_.pop_front();
        // A job whose admission has timed out is not written: its user was told that it was not
        // recorded.
        if (entry->deadline > Clock::now()) batch.push_back(std::move(entry));
    }
    return batch;
}

void JobAdmission::write_batch(const Batch& batch) {
    if (commit(batch) == StoreStatus::invalid && batch.size() > 1)
        single_writes_left_ = batch.size();
    const bool retry = any_unresolved(batch);
    const std::chrono::duration<double> cost{static_cast<double>(batch.size()) /
                                             (limits_.writes_per_s * budget_share)};
    std::this_thread::sleep_for(cost);
    if (retry) std::this_thread::sleep_for(jittered_retry_delay());
}

StoreStatus JobAdmission::commit(const Batch& batch) {
    std::vector<wire::Condition> conditions;
    std::vector<wire::Operation> operations;
    for (const auto& entry : batch) {
        conditions.push_back({keys::job(entry->id), 0});
        conditions.push_back({keys::ended_job(entry->id), 0});
        operations.push_back({keys::job(entry->id), entry->record, {}});
    }
    const auto sent_at = Clock::now();
    const auto result = store_.compare_and_swap(conditions, operations);
    resolve_outcome(batch, result, sent_at);
    return result.outcome;
}

// Puts entries without an outcome back into the queue, so that they are written again.
void JobAdmission::resolve_outcome(const Batch& batch, const CasResult& result,
                                   Clock::time_point sent_at) {
    const std::lock_guard lock(mutex_);
    for (const auto& entry : batch) {
        entry->sent_at = sent_at;
        entry->possibly_recorded |= result.outcome == StoreStatus::unknown;
        const bool exists = condition_failed(result, keys::job(entry->id)) ||
                            condition_failed(result, keys::ended_job(entry->id));
        if (result.outcome == StoreStatus::ok)
            entry->outcome = Result::admitted;
        else if (result.outcome == StoreStatus::conflict && exists)
            entry->outcome = Result::already_recorded;
        else if (result.outcome == StoreStatus::invalid && batch.size() == 1)
            entry->outcome = entry->possibly_recorded ? Result::failed : Result::refused;
        else
            waiting_.push_front(entry);
    }
    entry_resolved_.notify_all();
}

bool JobAdmission::any_unresolved(const Batch& batch) {
    const std::lock_guard lock(mutex_);
    return std::any_of(batch.begin(), batch.end(),
                       [](const auto& entry) { return !entry->outcome; });
}

}  // namespace bendspindle::state
