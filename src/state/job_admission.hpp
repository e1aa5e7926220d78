/// Admits jobs on a controller that is not the leader: it writes the first record of a job, and the
/// leader adopts the job through its watch (`JobWatch`). Jobs are thus accepted while there is no
/// leader, and none is lost if the controller that accepted it fails. Idempotent: an existing
/// record is kept.
///
/// `admit` is called on the threads of user requests. `run` has its own thread, which commits the
/// records of several requests in one transaction.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "core/cluster/job.hpp"
#include "state/key_value_store.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::state {

/// A writer of the first records of jobs, which runs until the process ends.
class JobAdmission {
  public:
    /// The outcome of writing a job's first record.
    enum class Result : std::uint8_t {
        admitted,
        already_recorded,  // an open or terminal record exists
        refused,           // the store rejects the record for good; it was not written
        failed,            // not known to be recorded in time
    };

    /// The result of `admit`.
    struct Answer {
        Result outcome = Result::failed;
        // When the transaction was sent. Other controllers may have reported a newer state since.
        std::chrono::steady_clock::time_point sent_at{};
    };

    JobAdmission(KeyValueStore& store, config::StateLimits limits);
    /// Commits queued records. Does not return.
    void run();
    /// Writes the job's first record unless the job has a record. Waits until the outcome is known,
    /// and no longer than a user request may wait.
    [[nodiscard]] Answer admit(const core::JobRecord& record);

  private:
    using Clock = std::chrono::steady_clock;
    struct Entry {
        std::string id;
        wire::Value record;
        std::size_t bytes = 0;  // upper bound on its size in a transaction
        Clock::time_point deadline{};
        std::optional<Result> outcome;
        Clock::time_point sent_at{};
        bool possibly_recorded = false;  // by a transaction without a response
    };
    using Batch = std::vector<std::shared_ptr<Entry>>;

    void wait_for_entries();
    Batch collect_batch();
    void write_batch(const Batch& batch);
    StoreStatus commit(const Batch& batch);
    void resolve_outcome(const Batch& batch, const CasResult& result, Clock::time_point sent_at);
    bool any_unresolved(const Batch& batch);

    KeyValueStore& store_;
    const config::StateLimits limits_;
    // Guards waiting_ and the outcome and sent_at of each entry. Not held during a call.
    std::mutex mutex_;
    std::condition_variable entry_added_;
    std::condition_variable entry_resolved_;
    std::deque<std::shared_ptr<Entry>> waiting_;
    // Number of entries still to be written one at a time. Used by `run` only.
    std::size_t single_writes_left_ = 0;
};

}  // namespace bendspindle::state
