/// Messages between agents and the leader: heartbeats and task commands.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/time.hpp"

namespace bendspindle::core {

/// State of a task on its machine, as reported by the machine's agent.
enum class TaskState : std::uint8_t { fetching, waiting, running, saving, exited };
/// Why a task exited; `none` for a task that has not exited.
enum class ExitCause : std::uint8_t {
    none,
    done,
    stopped,
    peers,  // another task of the gang ended without completing
    alone,  // the rest of the gang did not arrive within `AgentTimings::gang_wait`
    error,
    no_room,
    busy,
    unknown
};

/// An entry of the task list in a heartbeat.
struct ReportedTask {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;

    bool operator==(const ReportedTask&) const = default;
};

/// An agent's heartbeat: a description of its machine and the complete task list. The heartbeats of
/// one machine are ordered by (`agent_epoch`, `sequence`).
struct Heartbeat {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t fencing_token = 0;        // the highest that the agent has seen
    std::optional<Seconds> reclaim_notice;  // spot only: time until the cloud reclaims the machine
    std::vector<ReportedTask> tasks;
};

/// A command to an agent about one attempt of a task. `acknowledge` tells the agent that the leader
/// has processed the task's exit, so that the agent may drop the task from its list. `grace` is the
/// time that a stopped task has to save a checkpoint.
struct TaskCommand {
    enum class Verb : std::uint8_t { start, stop, acknowledge };
    Verb verb = Verb::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    Seconds grace{0};
    bool operator==(const TaskCommand&) const = default;
};

/// Returns whether one of the commands has this verb.
[[nodiscard]] inline bool contains(const std::vector<TaskCommand>& commands,
                                   TaskCommand::Verb verb) {
    return std::any_of(commands.begin(), commands.end(),
                       [verb](const TaskCommand& command) { return command.verb == verb; });
}

}  // namespace bendspindle::core
