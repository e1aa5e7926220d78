/// Handling of SIGTERM and SIGINT: the first signal requests a graceful shutdown, the second one
/// terminates the process immediately.
#pragma once

namespace bendspindle::daemon {

/// Installs the signal handlers and blocks both signals in the calling thread. Call before any
/// thread is started: threads inherit the mask, so that only a thread that calls
/// `unblock_stop_signals` receives the signals.
void install_stop_signal_handlers();
/// Unblocks both signals in the calling thread. Called only by the thread that runs
/// `shut_down_on_signal`.
void unblock_stop_signals();
/// Returns whether the first signal has been received. Thread-safe.
[[nodiscard]] bool stop_requested();

}  // namespace bendspindle::daemon
