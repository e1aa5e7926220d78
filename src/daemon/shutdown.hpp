/// Graceful shutdown, on a dedicated thread that the service starts last.
#pragma once

#include "io/http_server.hpp"
#include "leadership/leader_elector.hpp"

namespace bendspindle::daemon {

/// Waits for a stop signal, then shuts down and exits the process in these steps: refuses new
/// connections, so that the load balancer uses another controller; waits a bounded time for the
/// responses to requests in progress; resigns leadership, so that another controller can lead
/// immediately.
///
/// None of these steps is required for safety: after a kill, the next leader finds the same stored
/// state and only starts later, when the lease has expired.
[[noreturn]] void shut_down_on_signal(io::HttpServer& http, leadership::LeaderElector& elector);

}  // namespace bendspindle::daemon
