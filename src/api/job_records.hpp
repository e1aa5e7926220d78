/// Answers about a job from its records in the key-value store, for what no controller's memory can
/// answer: the leader is unknown, or the leader may not answer from memory.
///
/// Owns the pace at which polls may read the store. Used by the handlers of users' requests, on
/// their threads; safe for any of them. Calls the store: never under the leader mutex.
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

/// Whether an answer counts tasks besides the job's state.
enum class TaskCounts : std::uint8_t { omitted, included };

/// 200 with a job's status.
[[nodiscard]] wire::Response status_response(const std::string& id, const core::JobStatus& status,
                                             TaskCounts counts);

/// Whether others may have answered with a newer state than this response's since it was asked for.
/// Terminal states do not change.
[[nodiscard]] bool may_be_outdated(const wire::Response& response,
                                   std::chrono::steady_clock::time_point asked);

/// Reads the records of one job at a time.
class JobRecords {
  public:
    /// `polls`: the reads of the store that polls may cause.
    JobRecords(state::KeyValueStore& store, state::TerminalStateCache& terminal_states,
               TokenBucket polls);

    /// The answer for a job known to have ended; costs no read.
    [[nodiscard]] std::optional<wire::Response> from_terminal_cache(const std::string& id,
                                                                    TaskCounts counts) const;
    /// Keeps the terminal state that a response has, if it has one.
    void remember_terminal_state(const std::string& id, const wire::Response& response);

    /// 200, 404 for no such job, or 503. Not outdated: reads once more if the first took long.
    [[nodiscard]] wire::Response read(const std::string& id, TaskCounts counts);
    /// The same within the pace for polls, or 503.
    [[nodiscard]] wire::Response read_paced(const std::string& id, TaskCounts counts);
    /// The same for a job that this controller holds open but may not answer for from memory: its
    /// first or its terminal record is under way, or the lease is gone. No 404.
    [[nodiscard]] wire::Response read_paced_of_open_job(const std::string& id, TaskCounts counts);

  private:
    wire::Response read_once(const std::string& id, TaskCounts counts);
    wire::Response read_terminal_record(const std::string& id, TaskCounts counts);

    state::KeyValueStore& store_;
    state::TerminalStateCache& terminal_states_;
    std::mutex polls_mutex_;  // guards polls_
    TokenBucket polls_;
};

}  // namespace bendspindle::api
