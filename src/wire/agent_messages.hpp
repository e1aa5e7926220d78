/// Heartbeats of agents, and the task commands that go to them: in answers to heartbeats and in
/// direct calls. Called by `agents` alone; the map from the wire's fields to the code's terms is in
/// agent_messages.cpp.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/model/types.hpp"
#include "core/reconciliation/direct_commands.hpp"

namespace bendspindle::wire {

namespace path {
inline constexpr const char* heartbeat = "/checkin";
inline constexpr const char* direct_commands = "/orders";
inline constexpr const char* inspect = "/inspect";
}  // namespace path

/// nullopt if anything in it is malformed.
std::optional<core::Heartbeat> parse_heartbeat(std::string_view body);
std::string heartbeat_body(const core::Heartbeat& heartbeat);
/// The answer to a heartbeat.
std::string commands_body(std::uint64_t fencing_token,
                          const std::vector<core::TaskCommand>& commands);
/// The commands of a direct call; only these carry the agent epoch that they are meant for.
std::string direct_commands_body(const core::DirectCommand& call);
/// Names the controller that takes heartbeats; an empty name: none is known.
std::string redirect_body(const std::string& node);

}  // namespace bendspindle::wire
