/// The response of a controller to a user, an agent or a peer, before the daemon sends it.
#pragma once

#include <string>

#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::wire {

/// A status, a CBOR body and the value of the `Retry-After` header.
struct Response {
    int status = http_status::service_unavailable;
    int retry_after = 0;  ///< in seconds; 0 omits the header
    std::string body;
};

/// Returns a response with status 503: the request may be repeated after `retry_after` seconds, or
/// sent to another controller.
[[nodiscard]] inline Response unavailable(const std::string& reason, int retry_after = 1) {
    return {http_status::service_unavailable, retry_after, wire::error_body(reason)};
}

}  // namespace bendspindle::wire
