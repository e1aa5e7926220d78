/// cpp-httplib's server with bounded threads and a connection loop that sleeps in poll(2) instead
/// of waking to look. The daemon sets its routes and runs it.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>

namespace bendspindle::io {

/// What protects the process from too many, too slow and too large requests.
struct HttpServerLimits {
    std::size_t max_threads = 200;
    std::size_t max_waiting = 400;     ///< connections accepted with no thread free
    std::chrono::seconds idle{75};     ///< between two requests of a connection
    std::chrono::seconds message{5};   ///< each wait for the peer within a message
    std::size_t max_body = 64 * 1024;  ///< of a request, in bytes
};

/// A server of users and agents. Routes are set before `listen_after_bind`, which blocks; `bind`,
/// `stop_accepting` and `quiet` may be called from other threads.
class HttpServer : public httplib::Server {
  public:
    explicit HttpServer(HttpServerLimits limits);
    /// Widens the accept queue, which the library fixes at a handful. False: not bound.
    [[nodiscard]] bool bind(const std::string& host, int port);
    /// Takes no more connections; those there are end with their next answer.
    void stop_accepting();
    /// Whether no request is being answered.
    [[nodiscard]] bool quiet() const { return answering_ == 0; }

  private:
    bool process_and_close_socket(socket_t sock) override;

    HttpServerLimits limits_;
    std::atomic<std::size_t> open_{0};
    std::atomic<std::size_t> answering_{0};
    std::atomic<bool> closing_{false};
};

}  // namespace bendspindle::io
