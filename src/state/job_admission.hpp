/// Admits jobs on a controller that is not the leader: their first records are written here, and
/// the leader adopts them by its watch (`JobWatch`). So a job is taken while there is no leader,
/// and none is lost with the controller that took it. Idempotent: a record that exists stays.
///
/// `admit` is called on the threads of users' requests; `run` has a thread of its own, which
/// commits what several of them wait for in one transaction.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "config/settings.hpp"
#include "core/cluster/job.hpp"
#include "state/key_value_store.hpp"

namespace bendspindle::state {

/// Writes first records for as long as the process lives.
class JobAdmission {
  public:
    /// What became of a job's first record.
    enum class Result : std::uint8_t {
        admitted,
        known,   // a record exists: open or terminal
        failed,  // not recorded in time, as far as known
    };

    /// What `admit` returns.
    struct Answer {
        Result outcome = Result::failed;
        // When the transaction was sent: others may have answered for the job since.
        std::chrono::steady_clock::time_point sent{};
    };

    JobAdmission(KeyValueStore& store, config::StateLimits limits);
    /// Runs until the process ends.
    void run();
    /// Waits until the record is written, or no longer than a user may be kept waiting.
    [[nodiscard]] Answer admit(core::JobRecord record);

  private:
    using Clock = std::chrono::steady_clock;
    struct Entry {
        core::JobRecord record;
        Clock::time_point until{};
        std::optional<Result> outcome;
        Clock::time_point sent{};
    };
    using Batch = std::vector<std::shared_ptr<Entry>>;

    void wait_for_entries();
    Batch collect_batch();
    void write_batch(const Batch& batch);
    StoreStatus commit(const Batch& batch);
    void resolve_outcome(const Batch& batch, const CasResult& result, Clock::time_point sent);
    bool any_unresolved(const Batch& batch);

    KeyValueStore& store_;
    const config::StateLimits limits_;
    std::mutex mutex_;  // guards waiting_ and each entry's outcome; held across no call
    std::condition_variable entry_added_;
    std::condition_variable entry_resolved_;
    std::deque<std::shared_ptr<Entry>> waiting_;
    std::size_t write_one_by_one_ = 0;  // so many of the next entries; for `run` only
};

}  // namespace bendspindle::state
