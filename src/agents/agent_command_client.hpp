// Direct calls to workers, by a few threads: one that hangs delays only its own machine.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>

#include "core/controller.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::agents {

class AgentCommandClient {
  public:
    explicit AgentCommandClient(state::LeaderState& leader_state) : leader_state_(leader_state) {}
    void start();
    void send(core::DirectCommand call);

  private:
    void run();

    state::LeaderState& leader_state_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<core::DirectCommand> queue_;
};

}  // namespace bendspindle::agents
