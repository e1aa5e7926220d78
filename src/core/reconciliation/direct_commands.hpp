// Orders that go to a worker's own address instead of waiting for its next report: which calls are
// due, and what the outcome of one says of the orders it carried. A call may arrive minutes late.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/reconciliation/command_planner.hpp"

namespace bendspindle::core {

// Without orders it raises the worker's token and brings its report back.
struct DirectCommand {
    std::string machine;
    std::string address;
    std::uint64_t fencing_token = 0;
    std::uint64_t agent_epoch = 0;
    std::vector<TaskCommand> commands;
};
enum class CommandOutcome : std::uint8_t { executed, rejected, unknown };

class DirectCommands {
  public:
    DirectCommands(MachineInventory& inventory, JobTable& pipelines, CommandPlanner& commands,
                   std::uint64_t term)
        : inventory_(inventory), job_table_(pipelines), command_planner_(commands), term_(term) {}

    // Calls that are due now; they count as made.
    std::vector<DirectCommand> due(TimePoint now, bool may_start);
    // A stop that was not carried out is given again.
    void repeat_stop(const TaskCommand& command);
    // What became of a start. `answer` is the worker's report, if there was one.
    void settle_start(Machine& machine, const TaskCommand& command, const DirectCommand& call,
                      CommandOutcome outcome, const Heartbeat* answer);

  private:
    MachineInventory& inventory_;
    JobTable& job_table_;
    CommandPlanner& command_planner_;
    const std::uint64_t term_;
};

}  // namespace bendspindle::core
