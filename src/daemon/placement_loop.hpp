/// The leader's placement cycles: at its interval, and sooner when something has changed.
///
/// Owns the pace of cycles; the core decides, under the leader mutex. Direct commands are sent
/// after the mutex was released. `run` has a thread of its own.
#pragma once

#include <vector>

#include "agents/agent_command_client.hpp"
#include "leadership/cancellation_replication.hpp"
#include "leadership/leader_elector.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::daemon {

/// Runs cycles while this controller is the leader, and waits otherwise.
class PlacementLoop {
  public:
    /// All of these outlive it. `interval`: between cycles that nothing has asked for.
    PlacementLoop(core::Seconds interval, state::LeaderState& leader_state,
                  leadership::LeaderElector& elector,
                  const leadership::CancellationReplication& replication,
                  agents::AgentCommandClient& agent_commands);

    /// Runs until the process ends.
    void run();

  private:
    std::vector<core::DirectCommand> cycle(state::LeaderState::Access& access);

    const core::Seconds interval_;
    state::LeaderState& leader_state_;
    leadership::LeaderElector& elector_;
    const leadership::CancellationReplication& replication_;
    agents::AgentCommandClient& agent_commands_;
};

}  // namespace bendspindle::daemon
