// What a controller answers to a user, a worker or a peer, before it is put on the wire.
#pragma once

#include <string>

namespace bendspindle::app {

struct Reply {
    int status = 503;
    int retry_after = 0;  // seconds; 0: none
    std::string body;
};

}  // namespace bendspindle::app
