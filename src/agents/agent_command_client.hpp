/// Client that sends direct commands to agents from a small thread pool, so that an agent that
/// hangs delays only the commands to its own machine.
///
/// The placement thread queues commands with `send`. The outcome of each command is applied to the
/// leader's records if this controller still leads under the same term.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

#include "core/controller.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::agents {

/// Sender of direct commands. `start` must be called once; `send` is thread-safe.
class AgentCommandClient {
  public:
    /// `leader_state` must outlive this object, and both must live until the process ends.
    explicit AgentCommandClient(state::LeaderState& leader_state) : leader_state_(leader_state) {}
    /// Starts the threads. They are detached, because a call may hang until it times out and
    /// process exit must not wait for it.
    void start();
    /// Queues a command and returns without waiting for the call. May be called while the mutex of
    /// state::LeaderState is held; that mutex comes first in the lock order.
    void send(core::DirectCommand command);

    /// The outcome of a call to an agent.
    struct CallResult {
        core::CommandOutcome outcome = core::CommandOutcome::unknown;
        std::optional<core::Heartbeat> heartbeat;  // from the agent's response, if it had one
    };

  private:
    void run();
    void complete(const core::DirectCommand& command, const CallResult& result);
    core::DirectCommand next_command();

    state::LeaderState& leader_state_;
    std::mutex mutex_;                         // guards `queue_`
    std::condition_variable queue_not_empty_;  // signals that a command was added to `queue_`
    std::deque<core::DirectCommand> queue_;
};

}  // namespace bendspindle::agents
