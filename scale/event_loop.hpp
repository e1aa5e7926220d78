// One thread's sockets and timers.
//
// The project uses threads and blocking sockets as a rule. Simulated agents are the exception: ten
// thousand of them share one process, each with a connection and several timers, and a thread each
// would measure the machine's scheduler instead of the controllers.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace bendspindle::scale {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/// Waits for sockets and times and calls who asked for them, all in the caller's thread.
class EventLoop {
  public:
    using OnReady = std::function<void(std::uint32_t events)>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Calls `on_ready` whenever one of the epoll `events` holds of the socket.
    void watch(int socket, std::uint32_t events, OnReady on_ready);
    /// Waits for other events of a watched socket.
    void change(int socket, std::uint32_t events);
    /// To be called before the socket is closed.
    void forget(int socket);
    /// Calls `action` once at that time. It cannot be taken back: actions check what they act on.
    void at(TimePoint when, std::function<void()> action);
    /// Runs until then, or until `stop`.
    void run_until(TimePoint end);
    /// Makes `run_until` return.
    void stop() { stopped_ = true; }

  private:
    struct Timer {
        TimePoint when;
        std::uint64_t serial;
        std::function<void()> action;
        bool operator>(const Timer& other) const {
            return when != other.when ? when > other.when : serial > other.serial;
        }
    };
    struct Watched {
        std::uint64_t serial = 0;
        OnReady on_ready;
    };
    void run_timers();
    void wait(TimePoint end);

    int epoll_ = -1;
    bool stopped_ = false;
    std::uint64_t serial_ = 0;
    std::unordered_map<int, Watched> watched_;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
};

}  // namespace bendspindle::scale
