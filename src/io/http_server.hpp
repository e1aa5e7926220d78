/// An HTTP server based on cpp-httplib, with a bounded number of threads and a connection loop that
/// blocks in poll(2) instead of polling periodically. The daemon gives it a handler and runs it.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

#include "io/connection_stream.hpp"
#include "wire/response.hpp"

namespace bendspindle::io {

/// Limits that protect the process from too many, too slow and too large requests. The head of a
/// request has those of `HeadLimits`.
struct HttpServerLimits {
    std::size_t max_threads = 200;
    std::size_t max_waiting = 400;             ///< accepted connections that wait for a thread
    std::chrono::seconds idle_timeout{75};     ///< between two requests of a connection
    std::chrono::seconds message_timeout{5};   ///< each wait for the client within a message
    std::chrono::seconds request_timeout{20};  ///< from the first byte of a request to its last
    std::size_t max_body_bytes = 64 * 1024;    ///< of a request
};

/// A request that passed all limits.
struct HttpRequest {
    const std::string& method;
    const std::string& path;  ///< decoded, without the query
    const std::string& body;
};

/// The HTTP server for users and agents. Set the handler before `listen_after_bind`, which blocks;
/// `bind`, `stop_accepting` and `drained` may be called from other threads.
class HttpServer : private httplib::Server {
  public:
    /// Answers a request; called concurrently on the server's threads. An exception costs only the
    /// request: it is logged and answered with 500.
    using Handler = std::function<wire::Response(const HttpRequest&)>;

    HttpServer(HttpServerLimits limits, Handler handler);
    /// Binds the address and sets a larger accept backlog than the small fixed one of the library.
    /// Returns false if the address cannot be bound.
    [[nodiscard]] bool bind(const std::string& host, int port);
    using httplib::Server::is_running;
    using httplib::Server::listen_after_bind;
    using httplib::Server::stop;
    /// Stops accepting connections; existing connections are closed after their next response.
    void stop_accepting();
    /// Returns whether no request is being processed.
    [[nodiscard]] bool drained() const { return active_requests_ == 0; }

  private:
    bool process_and_close_socket(socket_t sock) override;
    void serve_connection(socket_t sock);
    // Returns whether the connection can be used for another request.
    bool serve_request(ConnectionStream& stream);
    void handle(const httplib::Request& request, httplib::Response& response) const;
    [[nodiscard]] wire::Response call_handler(const HttpRequest& request) const;

    HttpServerLimits limits_;
    Handler handler_;
    std::atomic<std::size_t> open_connections_{0};
    std::atomic<std::size_t> active_requests_{0};
    std::atomic<bool> stopping_{false};
};

}  // namespace bendspindle::io
