/// Routes from the paths of the HTTP server to their handlers.
#pragma once

#include "agents/heartbeat_handler.hpp"
#include "api/health.hpp"
#include "api/job_cancellation.hpp"
#include "api/job_status.hpp"
#include "api/job_submission.hpp"
#include "io/http_server.hpp"

namespace bendspindle::daemon {

/// The request handlers of the API. All of them must outlive the server.
struct HttpHandlers {
    api::JobSubmissionHandler& submission;
    api::JobStatusHandler& status;
    api::JobCancellationHandler& cancellation;
    agents::HeartbeatHandler& heartbeats;
    const api::Health& health;
};

/// Answers a request by its method and path: 404 for an unknown path, 405 for a known path with
/// another method. May be called concurrently.
[[nodiscard]] wire::Response route(const HttpHandlers& handlers, const io::HttpRequest& request);

}  // namespace bendspindle::daemon
