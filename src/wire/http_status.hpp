/// The HTTP status codes that the protocol uses. They are plain ints because the HTTP library and
/// the peer frames carry them as numbers.
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
inline constexpr int uri_too_long = 414;
/// This controller is not the leader; the body may name the leader.
inline constexpr int misdirected = 421;
inline constexpr int unprocessable = 422;
inline constexpr int too_many_requests = 429;
inline constexpr int headers_too_large = 431;
/// The request caused an error in this controller.
inline constexpr int internal_error = 500;
/// The request cannot be processed now and may be repeated.
inline constexpr int service_unavailable = 503;

}  // namespace bendspindle::wire::http_status
