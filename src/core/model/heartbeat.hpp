/// What agents report, and what they are commanded.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/time.hpp"

namespace bendspindle::core {

/// Where a task stands on its machine, as its agent reports it.
enum class TaskState : std::uint8_t { fetching, waiting, running, saving, exited };
/// Why a task exited; `none` while it has not.
enum class ExitCause : std::uint8_t {
    none,
    done,
    stopped,
    peers,
    alone,
    error,
    no_room,
    busy,
    unknown
};

/// An entry of a machine's task list.
struct ReportedTask {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;

    bool operator==(const ReportedTask&) const = default;
};

/// A message of an agent: what its machine is, and its whole task list. (`agent_epoch`, `sequence`)
/// orders the messages of one machine.
struct Heartbeat {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t fencing_token = 0;  // the newest that the agent has seen
    std::optional<Seconds> notice;    // spot: the cloud takes the machine after this
    std::vector<ReportedTask> tasks;
};

/// What an agent is to do with one attempt of a task. `acknowledge`: its exit is taken over, and
/// may be forgotten. `grace`: the time that a stop leaves it to save.
struct TaskCommand {
    enum class Verb : std::uint8_t { start, stop, acknowledge };
    Verb verb = Verb::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    Seconds grace{0};
    bool operator==(const TaskCommand&) const = default;
};

}  // namespace bendspindle::core
