/// Limits on the connections of users and agents, derived from the available sockets and memory and
/// from the operator settings.
#pragma once

#include <cstddef>

#include "config/operator_settings.hpp"
#include "config/platform_settings.hpp"

namespace bendspindle::config {

/// Returns the maximum number of connections served concurrently, each by its own thread; at least
/// 1.
[[nodiscard]] std::size_t max_connections(const Settings& settings,
                                          const OperatorSettings& operator_settings);
/// Returns the maximum number of accepted connections that may wait while `served` connections are
/// being served; at least 16.
[[nodiscard]] std::size_t max_waiting_connections(const Settings& settings, std::size_t served);

}  // namespace bendspindle::config
