/// Connections between controllers: blocking sockets that carry the frames of wire/peer.
/// leadership/peers calls the client; the daemon runs the server on a dedicated thread.
#pragma once

#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "io/http_client.hpp"
#include "wire/peer.hpp"

namespace bendspindle::io {

/// An owned file descriptor, closed by the destructor; negative if there is none.
class Socket {
  public:
    explicit Socket(int fd = -1) : fd_(fd) {}
    Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Socket& operator=(Socket&& other) noexcept;
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    ~Socket();
    int fd() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

  private:
    int fd_;
};

/// A client of one peer with a pool of connections. Thread-safe. Each call uses a connection of its
/// own, so that a call that hangs does not delay others.
class PeerClient {
  public:
    PeerClient(Endpoint endpoint, std::chrono::milliseconds timeout)
        : endpoint_(std::move(endpoint)), timeout_(timeout) {}
    /// Returns nullopt if no answer arrived; the peer may still have executed the request.
    [[nodiscard]] std::optional<wire::peer::Answer> call(const wire::peer::Request& request);

  private:
    std::optional<wire::peer::Answer> exchange(const Socket& socket, const std::string& frame);

    Endpoint endpoint_;
    std::chrono::milliseconds timeout_;
    std::mutex mutex_;  // guards idle_
    std::vector<Socket> idle_;
};

/// Accepts connections of peers and answers their requests, with one thread per connection. It
/// cannot be stopped and must outlive all other threads of the process.
class PeerServer {
  public:
    /// Answers a request; called concurrently from several threads.
    using Handler = std::function<wire::peer::Answer(const wire::peer::Request&)>;
    /// Receives the description of a protocol error; called concurrently from several threads.
    using ErrorReporter = std::function<void(const std::string&)>;
    PeerServer(Handler handler, ErrorReporter report_error)
        : handler_(std::move(handler)), report_error_(std::move(report_error)) {}
    /// Binds the address and listens on it; call before `run`. Returns false if this fails.
    [[nodiscard]] bool bind(const Endpoint& endpoint);
    /// Accepts connections and never returns.
    [[noreturn]] void run();

  private:
    void serve_guarded(Socket socket);
    void serve(Socket socket);
    void report_version_mismatch();

    Handler handler_;
    ErrorReporter report_error_;
    Socket listening_;
    std::mutex mutex_;  // guards version_mismatch_reported_
    std::optional<std::chrono::steady_clock::time_point> version_mismatch_reported_;
};

}  // namespace bendspindle::io
