#include "state/job_admission.hpp"

#include <algorithm>
#include <random>
#include <thread>

#include "state/state_writer.hpp"
#include "wire/records.hpp"

namespace bendspindle::state {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds gather_time{10};
constexpr milliseconds accept_limit{2500};  // users give up after 5 s
constexpr milliseconds pause_after_refusal{100};
constexpr std::size_t most_bytes = 48 * 1024;
constexpr std::size_t assumed_record_bytes = 2048;
// What one controller may take of the change budget that all of them share.
constexpr double budget_share = 0.4;

}  // namespace

JobAdmission::JobAdmission(KeyValueStore& store, config::StateLimits limits)
    : store_(store), limits_(limits) {}

JobAdmission::Answer JobAdmission::accept(core::JobRecord record) {
    auto entry = std::make_shared<Entry>();
    entry->record = std::move(record);
    entry->until = Clock::now() + accept_limit;
    std::unique_lock lock(mutex_);
    waiting_.push_back(entry);
    wanted_.notify_one();
    settled_.wait_until(lock, entry->until, [&] { return entry->outcome.has_value(); });
    return {entry->outcome.value_or(Result::failed), entry->sent};
}

JobAdmission::Batch JobAdmission::gather() {
    // Guard: one record that the state service calls malformed took all that were written with it
    // along, until their users gave up. They are told apart one by one.
    const auto most =
        alone_ > 0 ? std::size_t{1} : std::min(limits_.txn_ops, most_bytes / assumed_record_bytes);
    if (alone_ > 0) --alone_;
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

void JobAdmission::settle(const Batch& batch, const CasResult& cas_result, Clock::time_point sent) {
    const std::lock_guard lock(mutex_);
    for (const auto& entry : batch) {
        entry->sent = sent;
        const auto& id = entry->record.spec.id;
        const auto failed = [&](const std::string& key) {
            return std::find(cas_result.failed.begin(), cas_result.failed.end(), key) !=
                   cas_result.failed.end();
        };
        if (cas_result.outcome == StoreStatus::ok)
            entry->outcome = Result::accepted;
        else if (cas_result.outcome == StoreStatus::conflict &&
                 (failed(keys::job(id)) || failed(keys::over(id))))
            entry->outcome = Result::known;
        else if (cas_result.outcome == StoreStatus::invalid && batch.size() == 1)
            entry->outcome = Result::failed;
        else
            waiting_.push_front(entry);
    }
    settled_.notify_all();
}

StoreStatus JobAdmission::write(const Batch& batch) {
    std::vector<wire::Condition> conditions;
    std::vector<wire::Operation> operations;
    for (const auto& entry : batch) {
        const auto& id = entry->record.spec.id;
        conditions.push_back({keys::job(id), 0});
        conditions.push_back({keys::over(id), 0});
        operations.push_back({keys::job(id), wire::job_record(entry->record), {}});
    }
    const auto sent = Clock::now();
    const auto cas_result = store_.compare_and_swap(conditions, operations);
    settle(batch, cas_result, sent);
    return cas_result.outcome;
}

void JobAdmission::run() {
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> jitter(0, static_cast<int>(pause_after_refusal.count()));
    for (;;) {
        {
            std::unique_lock lock(mutex_);
            wanted_.wait(lock, [&] { return !waiting_.empty(); });
        }
        std::this_thread::sleep_for(gather_time);
        const auto batch = gather();
        if (batch.empty()) continue;
        if (write(batch) == StoreStatus::invalid && batch.size() > 1) alone_ = batch.size();
        bool again = false;
        {
            const std::lock_guard lock(mutex_);
            again = std::any_of(batch.begin(), batch.end(),
                                [](const auto& entry) { return !entry->outcome; });
        }
        const std::chrono::duration<double> cost{static_cast<double>(batch.size()) /
                                                 (limits_.writes_per_s * budget_share)};
        std::this_thread::sleep_for(cost);
        if (again) std::this_thread::sleep_for(pause_after_refusal + milliseconds(jitter(random)));
    }
}

}  // namespace bendspindle::state
