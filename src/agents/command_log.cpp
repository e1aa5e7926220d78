#include "agents/command_log.hpp"

#include "io/log.hpp"

namespace bendspindle::agents {

namespace {

const char* verb_name(core::TaskCommand::Verb verb) {
    switch (verb) {
        case core::TaskCommand::Verb::start:
            return "start";
        case core::TaskCommand::Verb::stop:
            return "stop";
        case core::TaskCommand::Verb::acknowledge:
            return "acknowledge";
    }
    return "";
}

const char* outcome_name(core::CommandOutcome outcome) {
    switch (outcome) {
        case core::CommandOutcome::executed:
            return "executed";
        case core::CommandOutcome::rejected:
            return "rejected";
        case core::CommandOutcome::unknown:
            return "unknown";
    }
    return "";
}

}  // namespace

void log_response_commands(const std::string& machine, const core::HeartbeatResponse& response) {
    for (const auto& command : response.commands)
        io::log::debug("task_command", "machine", machine, "token", response.fencing_token, "verb",
                       verb_name(command.verb), "job", command.job, "task", command.index,
                       "attempt", command.attempt);
}

void log_direct_commands(const core::DirectCommand& call, core::CommandOutcome outcome) {
    for (const auto& command : call.commands)
        io::log::debug("direct_command", "machine", call.machine, "token", call.fencing_token,
                       "agent_epoch", call.agent_epoch, "verb", verb_name(command.verb), "job",
                       command.job, "task", command.index, "attempt", command.attempt, "outcome",
                       outcome_name(outcome));
}

}  // namespace bendspindle::agents
