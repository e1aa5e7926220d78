// SIGTERM and SIGINT: the first asks the service to stop in good order, the second ends the
// process at once.
#pragma once

namespace bendspindle::daemon {

// Before any thread is made: from then on the signals go to the thread that takes them.
void catch_stop_signals();
void take_stop_signals_here();
bool stop_asked();

}  // namespace bendspindle::daemon
