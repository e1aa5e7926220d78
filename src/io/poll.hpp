/// Waiting for a socket; for the loops of http_server and peer_link.
#pragma once

#include <chrono>

namespace bendspindle::io {

/// Whether one of the events of poll(2) has come within the limit; signals do not end the wait.
[[nodiscard]] bool wait_for(int socket, short events, std::chrono::milliseconds limit);

}  // namespace bendspindle::io
