#include "io/poll.hpp"

#include <poll.h>

#include <cerrno>

namespace bendspindle::io {

bool wait_for(int socket, short events, std::chrono::milliseconds timeout) {
    pollfd waiting{socket, events, 0};
    int ready = 0;
    do {
        ready = ::poll(&waiting, 1, static_cast<int>(timeout.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

}  // namespace bendspindle::io
