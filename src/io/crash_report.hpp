/// A last log line of a process that a fatal signal ends: which signal, in which request. Without
/// it the log ends with an ordinary line, and neither a user nor an operator learns the cause.
#pragma once

#include <cstddef>
#include <string_view>

namespace bendspindle::io {

/// Makes SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT write `process_ended signal=... request=...`
/// to standard error before they end the process. Leaves a signal alone that has a handler, such as
/// that of a sanitizer. Call once, before other threads are started.
void install_crash_report();

/// A stack for the signal handlers of the current thread, so that they can run after the thread's
/// own stack has overflowed. Does nothing if the thread has one already.
class SignalStack {
  public:
    SignalStack();
    ~SignalStack();
    SignalStack(const SignalStack&) = delete;
    SignalStack& operator=(const SignalStack&) = delete;

  private:
    void* memory_ = nullptr;
    std::size_t size_ = 0;
};

/// Names the request that the current thread serves, as long as the object exists.
class CurrentRequest {
  public:
    /// Keeps the beginning of the description. Bytes that are not printable become `?`.
    explicit CurrentRequest(std::string_view description);
    ~CurrentRequest();
    CurrentRequest(const CurrentRequest&) = delete;
    CurrentRequest& operator=(const CurrentRequest&) = delete;
};

/// Returns the description of the request that the current thread serves; empty outside of one.
[[nodiscard]] std::string_view current_request();

}  // namespace bendspindle::io
