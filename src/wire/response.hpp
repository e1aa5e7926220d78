// What a controller answers to a user, a worker or a peer, before it is put on the wire.
#pragma once

#include <string>

#include "wire/users.hpp"

namespace bendspindle::wire {

struct Response {
    int status = 503;
    int retry_after = 0;  // seconds; 0: none
    std::string body;
};

// Not now: the same may be asked again after so many seconds, or of another controller.
inline Response unavailable(const std::string& why, int retry_after = 1) {
    return {503, retry_after, wire::error_body(why)};
}

}  // namespace bendspindle::wire
