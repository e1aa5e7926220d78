/// The threads that serve the connections of an HttpServer, one connection a thread at a time.
/// Owned by cpp-httplib, which enqueues each accepted connection and shuts the pool down when it
/// stops.
#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace bendspindle::io {

/// Threads are made when a connection finds none idle, up to a limit, and stay.
class ConnectionPool : public httplib::TaskQueue {
  public:
    ConnectionPool(std::size_t max_threads, std::size_t max_waiting)
        : max_threads_(max_threads), max_waiting_(max_waiting) {}
    /// Whether the connection that runs now on this thread is to be closed unserved, since too many
    /// wait already.
    [[nodiscard]] static bool turning_away() { return turning_away_; }
    void enqueue(std::function<void()> serve) override;
    /// Serves what waits, then ends all threads and waits for them.
    void shutdown() override;

  private:
    void work();

    static thread_local bool turning_away_;
    const std::size_t max_threads_;
    const std::size_t max_waiting_;
    std::mutex mutex_;  // guards all that follows
    std::condition_variable wake_;
    std::condition_variable ended_;
    std::deque<std::function<void()>> queue_;
    std::size_t threads_ = 0;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

}  // namespace bendspindle::io
