/// Peer names from the settings, and the socket transport for calls to peers. The daemon constructs
/// its `Peers` from these; nothing else in this folder depends on settings or sockets.
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"
#include "leadership/peers.hpp"

namespace bendspindle::leadership {

/// Returns the names of the peers in the settings, sorted and without duplicates.
[[nodiscard]] std::vector<std::string> peer_names(const config::Settings& settings);

/// Returns a function that calls peers over sockets, at the addresses in the settings, with a
/// timeout of 1.5 s for each call. The function is thread-safe.
[[nodiscard]] Peers::Link socket_link(const config::Settings& settings);

}  // namespace bendspindle::leadership
