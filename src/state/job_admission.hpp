// Accepts jobs on a controller that does not act: their first records are written here, and the
// controller that acts learns of them from the state service. So a job can be taken while nobody
// acts, and none is lost with the controller that took it.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>

#include "config/settings.hpp"
#include "core/cluster/job.hpp"
#include "state/key_value_store.hpp"

namespace bendspindle::state {

class JobAdmission {
  public:
    enum class Result : std::uint8_t {
        accepted,
        known,   // a record exists: open or over
        failed,  // not recorded in time, as far as known
    };

    struct Answer {
        Result outcome = Result::failed;
        // When the transaction was sent: others may have told of the job since.
        std::chrono::steady_clock::time_point sent{};
    };

    JobAdmission(KeyValueStore& store, config::StateLimits limits);
    // Runs until the process ends.
    void run();
    // Waits until the record is written, or no longer than a user may be kept waiting.
    Answer accept(core::JobRecord record);

  private:
    using Clock = std::chrono::steady_clock;
    struct Entry {
        core::JobRecord record;
        Clock::time_point until{};
        std::optional<Result> outcome;
        Clock::time_point sent{};
    };
    using Batch = std::vector<std::shared_ptr<Entry>>;

    Batch gather();
    StoreStatus write(const Batch& batch);
    void settle(const Batch& batch, const CasResult& cas_result, Clock::time_point sent);

    KeyValueStore& store_;
    config::StateLimits limits_;
    std::mutex mutex_;
    std::condition_variable wanted_;
    std::condition_variable settled_;
    std::deque<std::shared_ptr<Entry>> waiting_;
    std::size_t alone_ = 0;  // so many entries are written one by one
};

}  // namespace bendspindle::state
