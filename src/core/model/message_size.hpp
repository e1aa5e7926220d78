/// Upper bounds on the size of messages between agents and the leader. The protocol limits every
/// message, and counts its size as JSON text. `wire` encodes the messages; message_size_test
/// compares its output with these bounds.
///
/// A heartbeat lists all tasks of its machine, so the limit also bounds how many tasks a machine
/// can have. Scheduling treats the space in the heartbeat as a resource of the machine
/// (`Resources::heartbeat_bytes`).
#pragma once

#include <cstddef>
#include <string_view>

#include "core/model/heartbeat.hpp"

namespace bendspindle::core {

/// The maximum size of a message.
inline constexpr std::size_t max_message_bytes = 64 * 1024;
/// The space for the task list in a heartbeat; the rest is for the description of the machine.
inline constexpr std::size_t max_task_list_bytes = 60 * 1024;
/// The space for the commands in a message to an agent; the rest is for its other fields.
inline constexpr std::size_t max_command_list_bytes = max_message_bytes - 256;

/// Returns the maximum size of a task's entry in a heartbeat, whatever its state.
[[nodiscard]] std::size_t max_task_entry_bytes(std::string_view job);
/// Returns the maximum size of a command in a message to an agent.
[[nodiscard]] std::size_t max_command_bytes(const TaskCommand& command);

}  // namespace bendspindle::core
