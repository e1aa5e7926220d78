#include "state/job_admission.hpp"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "state/keys.hpp"
#include "wire/records.hpp"

namespace bendspindle::state {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds batching_time{10};
constexpr milliseconds admission_limit{2500};  // users give up after 5 s
constexpr milliseconds pause_after_refusal{100};
constexpr std::size_t most_bytes = 48 * 1024;
constexpr std::size_t assumed_record_bytes = 2048;
// What one controller may take of the budget of changes that all of them share.
constexpr double budget_share = 0.4;

// With jitter, so that several controllers do not call together.
milliseconds pause_with_jitter() {
    static thread_local std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> jitter(0, static_cast<int>(pause_after_refusal.count()));
    return pause_after_refusal + milliseconds(jitter(random));
}

bool failed(const CasResult& result, const std::string& key) {
    return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
}

}  // namespace

JobAdmission::JobAdmission(KeyValueStore& store, config::StateLimits limits)
    : store_(store), limits_(limits) {}

JobAdmission::Answer JobAdmission::admit(core::JobRecord record) {
    auto entry = std::make_shared<Entry>();
    entry->record = std::move(record);
    entry->until = Clock::now() + admission_limit;
    std::unique_lock lock(mutex_);
    waiting_.push_back(entry);
    entry_added_.notify_one();
    entry_resolved_.wait_until(lock, entry->until, [&] { return entry->outcome.has_value(); });
    return {entry->outcome.value_or(Result::failed), entry->sent};
}

void JobAdmission::run() {
    for (;;) {
        wait_for_entries();
        const auto batch = collect_batch();
        if (!batch.empty()) write_batch(batch);
    }
}

void JobAdmission::wait_for_entries() {
    {
        std::unique_lock lock(mutex_);
        entry_added_.wait(lock, [&] { return !waiting_.empty(); });
    }
    std::this_thread::sleep_for(batching_time);
}

JobAdmission::Batch JobAdmission::collect_batch() {
    // Guard: one record that the store calls malformed took all that were written with it along,
    // until their users gave up. They are written one by one
    // (JobAdmission.AdmitsTheOthersWhenOneIsCalledMalformed).
    const auto most = write_one_by_one_ > 0
                          ? std::size_t{1}
                          : std::min(limits_.txn_ops, most_bytes / assumed_record_bytes);
    if (write_one_by_one_ > 0) --write_one_by_one_;
    Batch batch;
    const std::lock_guard lock(mutex_);
    while (!waiting_.empty() && batch.size() < most) {
        auto entry = std::move(waiting_.front());
        waiting_.pop_front();
        // Guard: what its user has given up on is not written behind the user's back.
        if (entry->until > Clock::now()) batch.push_back(std::move(entry));
    }
    return batch;
}

void JobAdmission::write_batch(const Batch& batch) {
    if (commit(batch) == StoreStatus::invalid && batch.size() > 1) write_one_by_one_ = batch.size();
    const bool again = any_unresolved(batch);
    const std::chrono::duration<double> cost{static_cast<double>(batch.size()) /
                                             (limits_.writes_per_s * budget_share)};
    std::this_thread::sleep_for(cost);
    if (again) std::this_thread::sleep_for(pause_with_jitter());
}

StoreStatus JobAdmission::commit(const Batch& batch) {
    std::vector<wire::Condition> conditions;
    std::vector<wire::Operation> operations;
    for (const auto& entry : batch) {
        const auto& id = entry->record.spec.id;
        conditions.push_back({keys::job(id), 0});
        conditions.push_back({keys::over(id), 0});
        operations.push_back({keys::job(id), wire::job_record(entry->record), {}});
    }
    const auto sent = Clock::now();
    const auto result = store_.compare_and_swap(conditions, operations);
    resolve_outcome(batch, result, sent);
    return result.outcome;
}

// What is not resolved is written again.
void JobAdmission::resolve_outcome(const Batch& batch, const CasResult& result,
                                   Clock::time_point sent) {
    const std::lock_guard lock(mutex_);
    for (const auto& entry : batch) {
        entry->sent = sent;
        const auto& id = entry->record.spec.id;
        const bool exists = failed(result, keys::job(id)) || failed(result, keys::over(id));
        if (result.outcome == StoreStatus::ok)
            entry->outcome = Result::admitted;
        else if (result.outcome == StoreStatus::conflict && exists)
            entry->outcome = Result::known;
        else if (result.outcome == StoreStatus::invalid && batch.size() == 1)
            entry->outcome = Result::failed;
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
