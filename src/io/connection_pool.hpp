/// The thread pool of an HttpServer. Each thread serves one connection at a time. cpp-httplib owns
/// the pool, enqueues each accepted connection and shuts the pool down when the server stops.
#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace bendspindle::io {

/// A pool that starts a thread when a connection finds none idle, up to a limit. Threads run until
/// `shutdown`.
class ConnectionPool : public httplib::TaskQueue {
  public:
    ConnectionPool(std::size_t max_threads, std::size_t max_waiting)
        : max_threads_(max_threads), max_waiting_(max_waiting) {}
    /// Returns whether the connection that this thread is handling must be closed without being
    /// served, because too many connections are waiting.
    [[nodiscard]] static bool rejecting() { return rejecting_; }
    /// Queues the connection. If the queue is full, calls `serve` on the calling thread while
    /// `rejecting` returns true.
    void enqueue(std::function<void()> serve) override;
    /// Serves the queued connections, then stops all threads and waits for them.
    void shutdown() override;

  private:
    void serve_connections();

    static thread_local bool rejecting_;
    const std::size_t max_threads_;
    const std::size_t max_waiting_;
    std::mutex mutex_;  // guards all members below
    std::condition_variable wake_;
    std::condition_variable ended_;
    std::deque<std::function<void()>> queue_;
    std::size_t threads_ = 0;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

}  // namespace bendspindle::io
