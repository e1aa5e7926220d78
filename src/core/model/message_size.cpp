#include "core/model/message_size.hpp"

namespace bendspindle::core {

namespace {

// Field names, punctuation, a task index and an attempt of the largest size.
constexpr std::size_t task_entry_overhead_bytes = 100;
// The same for a command, with a grace period.
constexpr std::size_t command_overhead_bytes = 120;
// Entries are rounded up to a multiple of this, so that jobs whose ids differ by a few characters
// have equal needs.
constexpr std::size_t task_entry_unit_bytes = 32;
// An escaped character, such as \u0007.
constexpr std::size_t max_character_bytes = 6;

// Returns whether JSON writes the character as it is.
bool is_plain(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.' || c == '/';
}

std::size_t max_text_bytes(std::string_view text) {
    std::size_t bytes = 0;
    for (const char c : text) bytes += is_plain(c) ? 1 : max_character_bytes;
    return bytes;
}

}  // namespace

std::size_t max_task_entry_bytes(std::string_view job) {
    const auto bytes = task_entry_overhead_bytes + max_text_bytes(job);
    const auto units = (bytes + task_entry_unit_bytes - 1) / task_entry_unit_bytes;
    return units * task_entry_unit_bytes;
}

std::size_t max_command_bytes(const TaskCommand& command) {
    return command_overhead_bytes + max_text_bytes(command.job);
}

}  // namespace bendspindle::core
