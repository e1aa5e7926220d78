/// Stopping in good order, on a thread of its own that the service starts last.
#pragma once

#include "io/http_server.hpp"
#include "leadership/leader_elector.hpp"

namespace bendspindle::daemon {

/// Waits for the signal to stop, then ends the process, in this order: new connections are refused,
/// so that the load balancer goes on to the next controller; requests under way get their answers,
/// for a bounded time; leadership is given up, so that another controller leads at once.
///
/// Nothing of this is needed for safety: a process that is killed leaves the same to its successor,
/// which only begins a lease later.
[[noreturn]] void stop_when_asked(io::HttpServer& http, leadership::LeaderElector& elector);

}  // namespace bendspindle::daemon
