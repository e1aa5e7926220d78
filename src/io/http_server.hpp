// cpp-httplib's server with a connection loop that sleeps in poll instead of waking to look.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>

namespace bendspindle::io {

struct HttpServerLimits {
    std::size_t most_threads = 200;
    std::size_t most_waiting = 400;  // accepted, and no thread free
    std::chrono::seconds idle{75};
    std::chrono::seconds message{5};
    std::size_t most_body = 64 * 1024;
};

// Threads are made when a connection finds none idle, up to a limit, and stay.
class GrowingPool : public httplib::TaskQueue {
  public:
    GrowingPool(std::size_t most, std::size_t most_waiting)
        : most_(most), most_waiting_(most_waiting) {}
    // Whether what runs now on this thread is to be turned away, since too much waits already.
    static bool turning_away() { return turning_away_; }
    void enqueue(std::function<void()> fn) override;
    void shutdown() override;

  private:
    void work();

    std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable ended_;
    std::deque<std::function<void()>> queue_;
    static thread_local bool turning_away_;
    std::size_t most_;
    std::size_t most_waiting_;
    std::size_t threads_ = 0;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

class HttpServer : public httplib::Server {
  public:
    explicit HttpServer(HttpServerLimits limits);
    // Widens the accept queue, which the library fixes at a handful. False: not bound.
    bool bind(const std::string& host, int port);
    // Takes no more connections; those there are end with their next answer.
    void stop_accepting();
    // Whether no request is being answered.
    bool quiet() const { return answering_ == 0; }

  private:
    bool process_and_close_socket(socket_t sock) override;

    HttpServerLimits limits_;
    std::atomic<std::size_t> open_{0};
    std::atomic<std::size_t> answering_{0};
    std::atomic<bool> closing_{false};
};

}  // namespace bendspindle::io
