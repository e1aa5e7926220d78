/// Codecs of the heartbeats of agents and of the task commands sent to them, in heartbeat responses
/// and in direct calls. Used only by `agents`; agent_messages.cpp lists the field names on the wire
/// and the corresponding terms in the code.
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

/// Returns nullopt if any part of the heartbeat is malformed.
std::optional<core::Heartbeat> parse_heartbeat(std::string_view body);
std::string heartbeat_body(const core::Heartbeat& heartbeat);
/// Returns the body of a heartbeat response.
std::string commands_body(std::uint64_t fencing_token,
                          const std::vector<core::TaskCommand>& commands);
/// Returns the body of a direct call. Unlike a heartbeat response it carries the agent epoch that
/// the commands are valid for.
std::string direct_commands_body(const core::DirectCommand& call);
/// Returns the body of a redirect to the leader; `leader` is empty if the leader is unknown.
std::string redirect_body(const std::string& leader);

}  // namespace bendspindle::wire
