/// Debug log lines for commands to agents. Called by the heartbeat handler and by the client for
/// direct calls.
#pragma once

#include <string>

#include "core/reconciliation/agent_gateway.hpp"
#include "core/reconciliation/direct_commands.hpp"

namespace bendspindle::agents {

/// Logs the commands in the response to a heartbeat of `machine`, a line each.
void log_response_commands(const std::string& machine, const core::HeartbeatResponse& response);
/// Logs the commands of a direct call with the outcome of the call, a line each.
void log_direct_commands(const core::DirectCommand& call, core::CommandOutcome outcome);

}  // namespace bendspindle::agents
