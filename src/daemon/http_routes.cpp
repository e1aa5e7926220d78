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
constexpr const char* one_job = R"(/work/([^/]*))";
constexpr const char* cancel_one_job = R"(/work/([^/]*)/cancel)";
constexpr const char* below_work = "/work/";

void send(const wire::Response& answer, httplib::Response& response) {
    response.status = answer.status;
    if (answer.retry_after > 0)
        response.set_header("Retry-After", std::to_string(answer.retry_after));
    response.set_content(answer.body, content_type);
}

// A job's id may be any text: asked for in the right way it is unknown, not a wrong method.
bool names_a_job(const Request& request) {
    if (!request.path.starts_with(below_work)) return false;
    return request.method == "GET" ||
           (request.method == "POST" && request.path.ends_with("/cancel"));
}

bool is_served_otherwise(const Request& request) {
    const auto& path = request.path;
    return path == wire::path::work || path == wire::path::heartbeat ||
           path == wire::path::health || (path.starts_with(below_work) && !names_a_job(request));
}

// For what reached no handler: the protocol's statuses and a body as in every error.
void answer_unserved(const Request& request, httplib::Response& response) {
    if (!response.body.empty()) return;
    // The protocol has one status for bodies that are too large or broken: malformed.
    if (response.status == wire::http_status::payload_too_large)
        response.status = wire::http_status::bad_request;
    if (response.status == wire::http_status::not_found && is_served_otherwise(request))
        response.status = wire::http_status::method_not_allowed;
    response.set_content(wire::error_body("not served"), content_type);
}

}  // namespace

void add_routes(io::HttpServer& http, HttpHandlers handlers) {
    http.Get(wire::path::health, [handlers](const Request&, httplib::Response& response) {
        response.status = handlers.health.healthy() ? wire::http_status::ok
                                                    : wire::http_status::service_unavailable;
    });
    http.Post(wire::path::work, [handlers](const Request& request, httplib::Response& response) {
        send(handlers.submission.handle(request.body), response);
    });
    http.Get(one_job, [handlers](const Request& request, httplib::Response& response) {
        send(handlers.status.handle(request.matches[1], Origin::client), response);
    });
    http.Post(cancel_one_job, [handlers](const Request& request, httplib::Response& response) {
        send(handlers.cancellation.handle(request.matches[1], Origin::client), response);
    });
    http.Post(wire::path::heartbeat,
              [handlers](const Request& request, httplib::Response& response) {
                  send(handlers.heartbeats.handle(request.body, Origin::client), response);
              });
    http.set_error_handler(answer_unserved);
}

}  // namespace bendspindle::daemon
