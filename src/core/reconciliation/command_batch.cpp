#include "core/reconciliation/command_batch.hpp"

#include <algorithm>
#include <utility>

namespace bendspindle::core {

CommandBatch::CommandBatch(std::vector<TaskCommand> required) : required_(std::move(required)) {
    for (auto command = required_.begin(); command != required_.end(); ++command) {
        const auto bytes = max_command_bytes(*command);
        if (bytes > free_bytes_) {
            required_.erase(command, required_.end());
            return;
        }
        free_bytes_ -= bytes;
    }
}

bool CommandBatch::add_together(std::initializer_list<TaskCommand> commands) {
    std::size_t bytes = 0;
    for (const auto& command : commands) bytes += max_command_bytes(command);
    if (bytes > free_bytes_) return false;
    free_bytes_ -= bytes;
    commands_.insert(commands_.end(), commands);
    return true;
}

void CommandBatch::add_required() {
    for (auto& command : std::exchange(required_, {}))
        if (std::find(commands_.begin(), commands_.end(), command) == commands_.end())
            commands_.push_back(std::move(command));
}

}  // namespace bendspindle::core
