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

constexpr milliseconds signal_poll{250};
constexpr milliseconds quiet_poll{20};
constexpr milliseconds longest_wait_for_answers{3000};

void wait_for_answers(const io::HttpServer& http) {
    const auto until = Clock::now() + longest_wait_for_answers;
    while (!http.drained() && Clock::now() < until) std::this_thread::sleep_for(quiet_poll);
}

}  // namespace

void stop_when_asked(io::HttpServer& http, leadership::LeaderElector& elector) {
    take_stop_signals_here();
    while (!stop_asked()) std::this_thread::sleep_for(signal_poll);
    io::log::info("stop_requested");
    http.stop_accepting();
    wait_for_answers(http);
    elector.resign();
    io::log::info("stopped");
    // No destructors: the other threads wait in calls and for work, and use what would be gone.
    std::_Exit(0);
}

}  // namespace bendspindle::daemon
