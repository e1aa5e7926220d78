/// What a controller answers to a user, an agent or a peer, before the daemon puts it on the wire.
#pragma once

#include <string>

#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::wire {

/// A status, a CBOR body, and what the `Retry-After` header says.
struct Response {
    int status = http_status::service_unavailable;
    int retry_after = 0;  ///< in seconds; 0: the header is left out
    std::string body;
};

/// 503: the same may be asked again after `retry_after` seconds, or of another controller.
[[nodiscard]] inline Response unavailable(const std::string& why, int retry_after = 1) {
    return {http_status::service_unavailable, retry_after, wire::error_body(why)};
}

}  // namespace bendspindle::wire
