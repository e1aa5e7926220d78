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
    std::chrono::seconds idle{75};
    std::chrono::seconds message{5};
    std::size_t most_body = 64 * 1024;
};

// Threads are made when a connection finds none idle, up to a limit, and stay.
class GrowingPool : public httplib::TaskQueue {
  public:
    explicit GrowingPool(std::size_t most) : most_(most) {}
    void enqueue(std::function<void()> fn) override;
    void shutdown() override;

  private:
    void work();

    std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable ended_;
    std::deque<std::function<void()>> queue_;
    std::size_t most_;
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
