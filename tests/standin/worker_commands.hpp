// The commands of a message to a worker, as a worker reads them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/model/heartbeat.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::standin {

struct WorkerCommands {
    std::uint64_t fencing_token = 0;
    std::uint64_t agent_epoch = 0;  // 0 in the response to a heartbeat
    std::vector<core::TaskCommand> commands;
};

inline core::TaskCommand::Verb verb_of(const std::string& name) {
    if (name == "start") return core::TaskCommand::Verb::start;
    return name == "stop" ? core::TaskCommand::Verb::stop : core::TaskCommand::Verb::acknowledge;
}

inline WorkerCommands read_commands(const wire::Value& message) {
    WorkerCommands out{message.at("baton"), message.value("shift", std::uint64_t{0}), {}};
    for (const auto& command : message.at("orders")) {
        const std::string task = command.at("piece");
        const auto slash = task.rfind('/');
        out.commands.push_back({verb_of(command.at("verb")), task.substr(0, slash),
                                static_cast<std::uint32_t>(std::stoul(task.substr(slash + 1))),
                                command.at("try"),
                                core::Seconds(command.value("wind_down_s", 0.0))});
    }
    return out;
}

}  // namespace bendspindle::standin
