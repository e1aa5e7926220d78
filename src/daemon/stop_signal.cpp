#include "daemon/stop_signal.hpp"

#include <signal.h>
#include <unistd.h>

#include <atomic>

namespace bendspindle::daemon {

namespace {

std::atomic<bool> asked{false};
static_assert(std::atomic<bool>::is_always_lock_free, "used in a signal handler");

// What shells report for a process that a signal ended.
constexpr int ended_by_signal = 128;

void on_signal(int signal) {
    if (asked.exchange(true)) ::_exit(ended_by_signal + signal);
}

sigset_t stop_signals() {
    sigset_t set;
    ::sigemptyset(&set);
    ::sigaddset(&set, SIGTERM);
    ::sigaddset(&set, SIGINT);
    return set;
}

}  // namespace

void catch_stop_signals() {
    struct sigaction action {};
    action.sa_handler = on_signal;
    action.sa_flags = SA_RESTART;
    for (const int signal : {SIGTERM, SIGINT}) ::sigaction(signal, &action, nullptr);
    const auto set = stop_signals();
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void take_stop_signals_here() {
    const auto set = stop_signals();
    ::pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

bool stop_asked() {
    return asked.load();
}

}  // namespace bendspindle::daemon
