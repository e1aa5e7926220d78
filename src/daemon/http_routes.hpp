/// Paths of the HTTP server and the handlers they go to.
#pragma once

#include "agents/heartbeat_handler.hpp"
#include "api/health.hpp"
#include "api/job_cancellation.hpp"
#include "api/job_status.hpp"
#include "api/job_submission.hpp"
#include "io/http_server.hpp"

namespace bendspindle::daemon {

/// All of these outlive the server.
struct HttpHandlers {
    api::JobSubmissionHandler& submission;
    api::JobStatusHandler& status;
    api::JobCancellationHandler& cancellation;
    agents::HeartbeatHandler& heartbeats;
    const api::Health& health;
};

/// Before the server listens. Handlers are called on the server's threads, any number at once.
void add_routes(io::HttpServer& http, HttpHandlers handlers);

}  // namespace bendspindle::daemon
