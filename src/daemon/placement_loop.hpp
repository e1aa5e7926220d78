/// The placement cycles of the leader: run periodically, and earlier when a change requests one.
///
/// This class determines when cycles run; the core makes the decisions, under the leader mutex.
/// Direct commands are sent after the mutex has been released. `run` occupies a thread of its own.
#pragma once

#include <vector>

#include "agents/agent_command_client.hpp"
#include "leadership/cancellation_replication.hpp"
#include "leadership/leader_elector.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::daemon {

/// Runs placement cycles while this controller is the leader and waits otherwise.
class PlacementLoop {
  public:
    /// All references must outlive this object. `interval` is the time between two cycles if no
    /// cycle is requested earlier.
    PlacementLoop(core::Seconds interval, state::LeaderState& leader_state,
                  leadership::LeaderElector& elector,
                  const leadership::CancellationReplication& replication,
                  agents::AgentCommandClient& agent_commands);

    /// Runs placement cycles; never returns.
    void run();

  private:
    // Waits for the next cycle, runs it and sends its direct commands.
    void run_next_cycle();
    // Runs one cycle and returns the direct commands to send; none without a core controller.
    std::vector<core::DirectCommand> run_cycle(state::LeaderState::Access& access);

    const core::Seconds interval_;
    state::LeaderState& leader_state_;
    leadership::LeaderElector& elector_;
    const leadership::CancellationReplication& replication_;
    agents::AgentCommandClient& agent_commands_;
    std::chrono::steady_clock::time_point next_cycle_{};
};

}  // namespace bendspindle::daemon
