#include "daemon/http_routes.hpp"

#include <algorithm>
#include <string>
#include <string_view>

#include "wire/agent_messages.hpp"
#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::daemon {

namespace {

using Origin = agents::RequestOrigin;

constexpr std::string_view job_path_prefix = "/work/";
constexpr std::string_view cancel_suffix = "/cancel";

wire::Response not_served(int status) {
    return {status, 0, wire::error_body("not served")};
}

bool is_get(const io::HttpRequest& request) {
    return request.method == "GET" || request.method == "HEAD";
}

bool is_post(const io::HttpRequest& request) {
    return request.method == "POST";
}

wire::Response health(const HttpHandlers& handlers) {
    if (handlers.health.healthy()) return {wire::http_status::ok, 0, {}};
    return not_served(wire::http_status::service_unavailable);
}

// The id may be any text: one that no job can have is an unknown job (404), not a wrong path.
wire::Response route_job(const HttpHandlers& handlers, const io::HttpRequest& request) {
    auto id = std::string_view(request.path).substr(job_path_prefix.size());
    if (is_get(request)) return handlers.status.handle(std::string(id), Origin::client);
    if (!is_post(request) || !request.path.ends_with(cancel_suffix))
        return not_served(wire::http_status::method_not_allowed);
    id.remove_suffix(std::min(id.size(), cancel_suffix.size()));
    return handlers.cancellation.handle(std::string(id), Origin::client);
}

}  // namespace

wire::Response route(const HttpHandlers& handlers, const io::HttpRequest& request) {
    const auto& path = request.path;
    if (path.starts_with(job_path_prefix)) return route_job(handlers, request);
    if (path == wire::path::health && is_get(request)) return health(handlers);
    if (path == wire::path::jobs && is_post(request))
        return handlers.submission.handle(request.body);
    if (path == wire::path::heartbeat && is_post(request))
        return handlers.heartbeats.handle(request.body, Origin::client);
    const bool known =
        path == wire::path::jobs || path == wire::path::heartbeat || path == wire::path::health;
    return not_served(known ? wire::http_status::method_not_allowed : wire::http_status::not_found);
}

}  // namespace bendspindle::daemon
