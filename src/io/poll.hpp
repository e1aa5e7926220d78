// Waiting for a socket.
#pragma once

#include <chrono>

namespace bendspindle::io {

// Whether one of the events of poll(2) has come within the limit; signals do not end the wait.
bool wait_for(int socket, short events, std::chrono::milliseconds limit);

}  // namespace bendspindle::io
