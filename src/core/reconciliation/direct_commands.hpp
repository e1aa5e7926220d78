/// Commands that are sent to the address of an agent instead of waiting for its next heartbeat:
/// which calls are due, and what the outcome of a call means for its commands. Called by
/// `AgentGateway`.
///
/// A call may arrive minutes late, and once more after it was answered (rules ran_twice,
/// ran_cancelled). A start in it may take effect until the agent lists the attempt, has seen a
/// higher fencing token, or has begun a new epoch. An acknowledgement removes the attempt from the
/// list, so the response that carries it also raises the token of its machine.
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

/// A direct call that is due. A call without commands raises the agent's fencing token and returns
/// its heartbeat.
struct DirectCommand {
    std::string machine;
    std::string address;
    std::uint64_t fencing_token = 0;
    std::uint64_t agent_epoch = 0;
    std::vector<TaskCommand> commands;
};
/// `unknown` means that there was no answer, or none that tells whether the commands were executed.
enum class CommandOutcome : std::uint8_t { executed, rejected, unknown };

/// Plans direct calls and applies their outcomes; at most one call to each machine is in progress.
/// All constructor arguments must outlive the object.
class DirectCommands {
  public:
    DirectCommands(MachineInventory& inventory, JobTable& job_table, CommandPlanner& commands,
                   std::uint64_t term)
        : inventory_(inventory), job_table_(job_table), command_planner_(commands), term_(term) {}

    /// Returns the calls that are due and marks them as in progress. Without `may_start` they carry
    /// no starts.
    [[nodiscard]] std::vector<DirectCommand> due(TimePoint now, bool may_start);
    /// Returns whether exited tasks of the machine may be acknowledged now. While a call is in
    /// progress that a raised token would invalidate, they wait for the next heartbeat.
    [[nodiscard]] static bool may_acknowledge(const Machine& machine) {
        return !machine.direct_calls.in_progress ||
               !machine.direct_calls.starts_under_present_token;
    }
    /// Raises the machine's token if starts were sent with it: once the agent has seen the raised
    /// token, no copy of these starts takes effect.
    static void invalidate_starts(Machine& machine);
    /// Makes a stop due again that was not executed.
    void repeat_stop(const TaskCommand& command);
    /// Applies the outcome of a start. `answer` is the heartbeat in the call's response, or null.
    /// May destroy the job if it is terminal.
    void settle_start(const TaskCommand& command, const DirectCommand& call, CommandOutcome outcome,
                      const Heartbeat* answer);

  private:
    void withdraw_rejected_start(Job& job, std::uint32_t index, Assignment& assignment);

    MachineInventory& inventory_;
    JobTable& job_table_;
    CommandPlanner& command_planner_;
    const std::uint64_t term_;
};

}  // namespace bendspindle::core
