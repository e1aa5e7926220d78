/// Direct commands to agents, sent by a few threads: an agent that hangs delays only its own
/// machine.
///
/// The placement thread queues commands with `send`; the outcome of each is applied to the leader's
/// records, if this controller still leads under the same term.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>

#include "core/controller.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::agents {

/// `start` once; `send` is safe from any thread.
class AgentCommandClient {
  public:
    /// `leader_state` outlives this, and both live until the process ends.
    explicit AgentCommandClient(state::LeaderState& leader_state) : leader_state_(leader_state) {}
    /// Starts the threads. They are detached: a call may hang until its time limit, and the end of
    /// the process does not wait for it.
    void start();
    /// Queues a command; does not block on the call. Lock order: may be called while the mutex of
    /// state::LeaderState is held.
    void send(core::DirectCommand command);

  private:
    void run();
    core::DirectCommand next_command();

    state::LeaderState& leader_state_;
    std::mutex mutex_;              // guards `queue_`
    std::condition_variable wake_;  // `queue_` has got a command
    std::deque<core::DirectCommand> queue_;
};

}  // namespace bendspindle::agents
