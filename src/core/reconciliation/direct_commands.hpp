/// Commands that go to an agent's own address instead of waiting for its next heartbeat: which
/// calls are due, and what the outcome of one says of the commands it carried. Called by
/// `AgentGateway`. A call may arrive minutes late; a start whose call has no answer is taken to be
/// possible until the machine's agent epoch changes (rule ran_twice).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/model/heartbeat.hpp"
#include "core/model/time.hpp"
#include "core/reconciliation/command_planner.hpp"

namespace bendspindle::core {

/// A call that is due. Without commands it raises the agent's fencing token and brings its
/// heartbeat back.
struct DirectCommand {
    std::string machine;
    std::string address;
    std::uint64_t fencing_token = 0;
    std::uint64_t agent_epoch = 0;
    std::vector<TaskCommand> commands;
};
/// `unknown`: there was no answer, or none that says whether the commands were carried out.
enum class CommandOutcome : std::uint8_t { executed, rejected, unknown };

/// What it was given must outlive it. At most one call for each machine is under way.
class DirectCommands {
  public:
    DirectCommands(MachineInventory& inventory, JobTable& job_table, CommandPlanner& commands,
                   std::uint64_t term)
        : inventory_(inventory), job_table_(job_table), command_planner_(commands), term_(term) {}

    /// Calls that are due now; they count as made. Without `may_start` they carry no starts.
    [[nodiscard]] std::vector<DirectCommand> due(TimePoint now, bool may_start);
    /// A stop that was not carried out is commanded again.
    void repeat_stop(const TaskCommand& command);
    /// What became of a start. `answer`: the heartbeat the call brought back, null if there was
    /// none.
    void settle_start(Machine& machine, const TaskCommand& command, const DirectCommand& call,
                      CommandOutcome outcome, const Heartbeat* answer);

  private:
    MachineInventory& inventory_;
    JobTable& job_table_;
    CommandPlanner& command_planner_;
    const std::uint64_t term_;
};

}  // namespace bendspindle::core
