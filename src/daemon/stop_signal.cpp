#include "daemon/stop_signal.hpp"

#include <signal.h>
#include <unistd.h>

#include <atomic>

namespace bendspindle::daemon {

namespace {

std::atomic<bool> requested{false};
static_assert(std::atomic<bool>::is_always_lock_free, "used in a signal handler");

// Shells report 128 plus the signal number as the exit status of a process killed by a signal.
constexpr int signal_exit_base = 128;

void on_signal(int signal) {
    if (requested.exchange(true)) ::_exit(signal_exit_base + signal);
}

sigset_t stop_signals() {
    sigset_t set;
    ::sigemptyset(&set);
    ::sigaddset(&set, SIGTERM);
    ::sigaddset(&set, SIGINT);
    return set;
}

}  // namespace

void install_stop_signal_handlers() {
    struct sigaction action {};
    action.sa_handler = on_signal;
    action.sa_flags = SA_RESTART;
    for (const int signal : {SIGTERM, SIGINT}) ::sigaction(signal, &action, nullptr);
    const auto set = stop_signals();
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void unblock_stop_signals() {
    const auto set = stop_signals();
    ::pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

bool stop_requested() {
    return requested.load();
}

}  // namespace bendspindle::daemon
