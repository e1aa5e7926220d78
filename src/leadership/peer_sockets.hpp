/// The peers that the settings name, and calls to them over sockets. The daemon makes its `Peers`
/// from these; nothing else depends on settings or sockets here.
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"
#include "leadership/peers.hpp"

namespace bendspindle::leadership {

/// The names of the peers in the settings, sorted, each once.
[[nodiscard]] std::vector<std::string> peer_names(const config::Settings& settings);

/// Calls over sockets, to the addresses in the settings, each with a time limit of 1.5 s. Safe from
/// any thread.
[[nodiscard]] Peers::Link socket_link(const config::Settings& settings);

}  // namespace bendspindle::leadership
