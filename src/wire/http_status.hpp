/// The HTTP statuses that the protocol uses, by name. They are plain ints because the HTTP library
/// and the peer frames carry them as numbers.
#pragma once

namespace bendspindle::wire::http_status {

inline constexpr int ok = 200;
inline constexpr int created = 201;
inline constexpr int bad_request = 400;
inline constexpr int not_found = 404;
inline constexpr int method_not_allowed = 405;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int payload_too_large = 413;
/// This controller does not lead; the body may name the one that does.
inline constexpr int misdirected = 421;
inline constexpr int unprocessable = 422;
inline constexpr int too_many_requests = 429;
/// Nothing is known or done now; the same request may be repeated.
inline constexpr int service_unavailable = 503;

}  // namespace bendspindle::wire::http_status
