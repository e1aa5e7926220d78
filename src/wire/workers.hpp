// Reports of workers, and the orders that go to them: in answers to reports and in direct calls.
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
inline constexpr const char* direct_orders = "/orders";
inline constexpr const char* inspect = "/inspect";
}  // namespace path

std::optional<core::Heartbeat> parse_heartbeat(std::string_view body);
std::string heartbeat_body(const core::Heartbeat& heartbeat);
std::string commands_body(std::uint64_t fencing_token,
                          const std::vector<core::TaskCommand>& commands);
// Orders of a direct call; only these name the worker's session.
std::string direct_commands_body(const core::DirectCommand& call);
// Names the controller that takes reports; an empty name: none is known.
std::string redirect_body(const std::string& node);

}  // namespace bendspindle::wire
