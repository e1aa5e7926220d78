/// The commands of one message to an agent, up to the maximum size of a message. A command that
/// does not fit is not sent: its owner must leave it due, so that a later message carries it.
/// Commands that reconciliation derives from a heartbeat are derived again from the next one.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <utility>
#include <vector>

#include "core/model/heartbeat.hpp"
#include "core/model/message_size.hpp"

namespace bendspindle::core {

/// Collects commands in the order in which the agent executes them.
class CommandBatch {
  public:
    CommandBatch() = default;
    /// Keeps space for the `required` commands, which `add_required` adds later. Those that do not
    /// fit into the message are left out.
    explicit CommandBatch(std::vector<TaskCommand> required);

    /// Adds a command. Returns false, and adds nothing, if it does not fit.
    bool add(const TaskCommand& command) { return add_together({command}); }
    /// Adds all of the commands. Returns false, and adds nothing, if they do not fit.
    bool add_together(std::initializer_list<TaskCommand> commands);
    /// Adds the required commands that are not in the batch yet.
    void add_required();

    [[nodiscard]] bool empty() const { return commands_.empty(); }
    /// Moves the commands out of the batch.
    [[nodiscard]] std::vector<TaskCommand> take() { return std::move(commands_); }

  private:
    std::vector<TaskCommand> commands_;
    std::vector<TaskCommand> required_;
    std::size_t free_bytes_ = max_command_list_bytes;
};

}  // namespace bendspindle::core
