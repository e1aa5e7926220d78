/// Adopts on the leader the jobs that followers have admitted, by watching the records of open
/// jobs.
///
/// Owns the watch; the `JobWatchCursor` in `LeaderState` holds its position. `run` has its own
/// thread; `adopt_job` is called on the thread of a cancellation request.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "state/key_value_store.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::state {

/// A watch that runs until the process ends and adopts jobs while this controller is the leader.
class JobWatch {
  public:
    /// `lease_valid` returns whether the lease still rules out another leader. It is called with
    /// the leader mutex held.
    JobWatch(KeyValueStore& store, LeaderState& leader_state, std::function<bool()> lease_valid);

    /// Watches and adopts jobs. Does not return.
    void run();
    /// Adopts a job that a follower has just admitted, ahead of its watch event. Returns whether
    /// the controller of this term knows the job afterwards; false if the job is not open or no job
    /// can be adopted at present. Calls the store, so the caller must not hold the leader mutex.
    [[nodiscard]] bool adopt_job(const std::string& id, std::uint64_t term);

  private:
    void watch_once();
    void adopt(const std::vector<wire::Entry>& entries, std::uint64_t revision, std::uint64_t term);

    KeyValueStore& store_;
    LeaderState& leader_state_;
    const std::function<bool()> lease_valid_;
};

}  // namespace bendspindle::state
