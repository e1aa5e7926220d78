/// How many connections of users and agents the sockets, the memory and the operators permit.
#pragma once

#include <cstddef>

#include "config/operator_settings.hpp"
#include "config/platform_settings.hpp"

namespace bendspindle::config {

/// Connections served at once, a thread each; at least 1.
[[nodiscard]] std::size_t max_connections(const Settings& settings, const OperatorSettings& own);
/// How many more may wait for one of `served` to end.
[[nodiscard]] std::size_t max_waiting_connections(const Settings& settings, std::size_t served);

}  // namespace bendspindle::config
