/// Reads a job's state from its records in the key-value store, for requests that no controller can
/// answer from memory: the leader is unknown, or the leader may not answer from memory.
///
/// Owns the rate limit for reads of the store that polls cause. Used by the handlers of user
/// requests on their threads. Thread-safe. Calls the store, so the caller must not hold the leader
/// mutex.
#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "api/token_bucket.hpp"
#include "state/key_value_store.hpp"
#include "state/terminal_state_cache.hpp"
#include "wire/response.hpp"

namespace bendspindle::api {

/// Whether a response includes task counts besides the job's state.
enum class TaskCounts : std::uint8_t { omitted, included };

/// Returns a 200 response with a job's status.
[[nodiscard]] wire::Response status_response(const std::string& id, const core::JobStatus& status,
                                             TaskCounts counts);

/// Returns whether other controllers may have returned a newer state than this response since
/// `requested_at`. False for terminal states, which do not change.
[[nodiscard]] bool may_be_outdated(const wire::Response& response,
                                   std::chrono::steady_clock::time_point requested_at);

/// A reader of the records of single jobs.
class JobRecords {
  public:
    /// `poll_limit` limits the rate of reads of the store that polls cause.
    JobRecords(state::KeyValueStore& store, state::TerminalStateCache& terminal_states,
               TokenBucket poll_limit);

    /// Returns the response for a job whose terminal state is cached, otherwise nothing. Does not
    /// read the store.
    [[nodiscard]] std::optional<wire::Response> from_terminal_cache(const std::string& id,
                                                                    TaskCounts counts) const;
    /// Caches the terminal state in a response, if it contains one.
    void cache_terminal_state(const std::string& id, const wire::Response& response);

    /// Returns 200 with the job's status, 404 if there is no such job, or 503. Reads a second time
    /// if the first read took long, so that the status is not outdated.
    [[nodiscard]] wire::Response read(const std::string& id, TaskCounts counts);
    /// Does the same as `read` within the rate limit for polls. Returns 503 beyond it.
    [[nodiscard]] wire::Response read_rate_limited(const std::string& id, TaskCounts counts);
    /// Does the same as `read_rate_limited` for a job that is open on this controller but that it
    /// may not answer for from memory, because the first or the terminal record is being written or
    /// the lease has expired. Returns 503 instead of 404.
    [[nodiscard]] wire::Response read_open_job_rate_limited(const std::string& id,
                                                            TaskCounts counts);

  private:
    wire::Response read_once(const std::string& id, TaskCounts counts);
    wire::Response read_terminal_record(const std::string& id, TaskCounts counts);

    state::KeyValueStore& store_;
    state::TerminalStateCache& terminal_states_;
    std::mutex poll_limit_mutex_;  // guards poll_limit_
    TokenBucket poll_limit_;
};

}  // namespace bendspindle::api
