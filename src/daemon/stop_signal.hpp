/// SIGTERM and SIGINT: the first asks the service to stop in good order, the second ends the
/// process at once.
#pragma once

namespace bendspindle::daemon {

/// Before any thread is made: from then on the signals go to the thread that takes them.
void catch_stop_signals();
/// On the one thread that is to be interrupted by them (`stop_when_asked`).
void take_stop_signals_here();
/// Whether the first signal has come. For any thread.
[[nodiscard]] bool stop_asked();

}  // namespace bendspindle::daemon
