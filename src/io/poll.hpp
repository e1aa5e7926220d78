/// Waiting for events of a socket, for the connection loops of the HTTP and the peer server.
#pragma once

#include <chrono>

namespace bendspindle::io {

/// Returns whether one of the poll(2) events occurs within the timeout. Signals do not end the
/// wait.
[[nodiscard]] bool wait_for(int socket, short events, std::chrono::milliseconds timeout);

}  // namespace bendspindle::io
