/// Brings jobs that followers have admitted to the leader, by a watch of the open jobs' records.
///
/// Owns the watch; `JobWatchCursor` in `LeaderState` holds how far it got. `run` has a thread of
/// its own; `adopt_one` is called by the handler of cancellations, on its thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "state/key_value_store.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::state {

/// Adopts jobs for as long as the process lives, while this controller is the leader.
class JobWatch {
  public:
    /// `lease_valid`: whether no other controller can lead yet. Called with the leader mutex held.
    JobWatch(KeyValueStore& store, LeaderState& leader_state, std::function<bool()> lease_valid);

    /// Runs until the process ends.
    void run();
    /// For a job that a follower has admitted a moment ago, ahead of its event. Whether the
    /// controller of this term knows the job now; if not, it is not open, or no job is adopted now.
    [[nodiscard]] bool adopt_one(const std::string& id, std::uint64_t term);

  private:
    void watch_once();
    void adopt(const std::vector<wire::Entry>& entries, std::uint64_t revision, std::uint64_t term);

    KeyValueStore& store_;
    LeaderState& leader_state_;
    const std::function<bool()> lease_valid_;
};

}  // namespace bendspindle::state
