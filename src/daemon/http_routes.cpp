#include "daemon/http_routes.hpp"

#include <string>

#include "wire/agent_messages.hpp"
#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::daemon {

namespace {

using httplib::Request;
using Origin = agents::RequestOrigin;

constexpr const char* content_type = "application/cbor";
constexpr const char* job_pattern = R"(/work/([^/]*))";
constexpr const char* cancel_pattern = R"(/work/([^/]*)/cancel)";
constexpr const char* job_path_prefix = "/work/";

void write_response(const wire::Response& result, httplib::Response& response) {
    response.status = result.status;
    if (result.retry_after > 0)
        response.set_header("Retry-After", std::to_string(result.retry_after));
    response.set_content(result.body, content_type);
}

// Returns whether the request has the method and path of a job request. The id may be any text: a
// path that no job pattern matches is an unknown job (404), not a wrong method (405).
bool is_job_request(const Request& request) {
    if (!request.path.starts_with(job_path_prefix)) return false;
    return request.method == "GET" ||
           (request.method == "POST" && request.path.ends_with("/cancel"));
}

// Returns whether the path exists, but not with this method.
bool is_wrong_method(const Request& request) {
    const auto& path = request.path;
    return path == wire::path::jobs || path == wire::path::heartbeat ||
           path == wire::path::health ||
           (path.starts_with(job_path_prefix) && !is_job_request(request));
}

// Completes responses of requests that reached no handler: sets a status of the protocol and the
// usual error body.
void complete_error_response(const Request& request, httplib::Response& response) {
    if (!response.body.empty()) return;
    // The protocol uses one status, 400, for bodies that are too large and for malformed ones.
    if (response.status == wire::http_status::payload_too_large)
        response.status = wire::http_status::bad_request;
    if (response.status == wire::http_status::not_found && is_wrong_method(request))
        response.status = wire::http_status::method_not_allowed;
    response.set_content(wire::error_body("not served"), content_type);
}

}  // namespace

void add_routes(io::HttpServer& http, HttpHandlers handlers) {
    http.Get(wire::path::health, [handlers](const Request&, httplib::Response& response) {
        response.status = handlers.health.healthy() ? wire::http_status::ok
                                                    : wire::http_status::service_unavailable;
    });
    http.Post(wire::path::jobs, [handlers](const Request& request, httplib::Response& response) {
        write_response(handlers.submission.handle(request.body), response);
    });
    http.Get(job_pattern, [handlers](const Request& request, httplib::Response& response) {
        write_response(handlers.status.handle(request.matches[1], Origin::client), response);
    });
    http.Post(cancel_pattern, [handlers](const Request& request, httplib::Response& response) {
        write_response(handlers.cancellation.handle(request.matches[1], Origin::client), response);
    });
    http.Post(
        wire::path::heartbeat, [handlers](const Request& request, httplib::Response& response) {
            write_response(handlers.heartbeats.handle(request.body, Origin::client), response);
        });
    http.set_error_handler(complete_error_response);
}

}  // namespace bendspindle::daemon
