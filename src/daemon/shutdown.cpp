#include "daemon/shutdown.hpp"

#include <chrono>
#include <cstdlib>
#include <thread>

#include "daemon/stop_signal.hpp"
#include "io/log.hpp"

namespace bendspindle::daemon {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds signal_poll_interval{250};
constexpr milliseconds drain_poll_interval{20};
constexpr milliseconds max_drain_time{3000};

void drain_requests(const io::HttpServer& http) {
    const auto deadline = Clock::now() + max_drain_time;
    while (!http.drained() && Clock::now() < deadline)
        std::this_thread::sleep_for(drain_poll_interval);
}

}  // namespace

void shut_down_on_signal(io::HttpServer& http, leadership::LeaderElector& elector) {
    unblock_stop_signals();
    while (!stop_requested()) std::this_thread::sleep_for(signal_poll_interval);
    io::log::info("stop_requested");
    http.stop_accepting();
    drain_requests(http);
    elector.resign();
    io::log::info("stopped");
    // Exits without running destructors: other threads are still blocked in calls or waiting for
    // work, and use objects that the destructors would invalidate.
    std::_Exit(0);
}

}  // namespace bendspindle::daemon
