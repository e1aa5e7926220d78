/// An HTTP server based on cpp-httplib, with a bounded number of threads and a connection loop that
/// blocks in poll(2) instead of polling periodically. The daemon registers its routes and runs it.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>

namespace bendspindle::io {

/// Limits that protect the process from too many, too slow and too large requests.
struct HttpServerLimits {
    std::size_t max_threads = 200;
    std::size_t max_waiting = 400;            ///< accepted connections that wait for a thread
    std::chrono::seconds idle_timeout{75};    ///< between two requests of a connection
    std::chrono::seconds message_timeout{5};  ///< each wait for the client within a message
    std::size_t max_body_bytes = 64 * 1024;   ///< of a request
};

/// The HTTP server for users and agents. Register the routes before `listen_after_bind`, which
/// blocks; `bind`, `stop_accepting` and `drained` may be called from other threads.
class HttpServer : public httplib::Server {
  public:
    explicit HttpServer(HttpServerLimits limits);
    /// Binds the address and sets a larger accept backlog than the small fixed one of the library.
    /// Returns false if the address cannot be bound.
    [[nodiscard]] bool bind(const std::string& host, int port);
    /// Stops accepting connections; existing connections are closed after their next response.
    void stop_accepting();
    /// Returns whether no request is being processed.
    [[nodiscard]] bool drained() const { return active_requests_ == 0; }

  private:
    bool process_and_close_socket(socket_t sock) override;

    HttpServerLimits limits_;
    std::atomic<std::size_t> open_connections_{0};
    std::atomic<std::size_t> active_requests_{0};
    std::atomic<bool> stopping_{false};
};

}  // namespace bendspindle::io
