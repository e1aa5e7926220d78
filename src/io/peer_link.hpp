/// Links between controllers: blocking sockets that carry the packed structs of wire/peer. The
/// client side is called by leadership/peers, the server side is run by the daemon on a thread of
/// its own.
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

/// A file descriptor that is closed with its owner; negative: none.
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

/// Calls to one peer, from any thread. Each call borrows a connection of its own, so that a call
/// that hangs delays no other.
class PeerClient {
  public:
    PeerClient(Endpoint endpoint, std::chrono::milliseconds timeout)
        : endpoint_(std::move(endpoint)), timeout_(timeout) {}
    /// nullopt: no answer; the peer may have executed the request all the same.
    [[nodiscard]] std::optional<wire::peer::Answer> call(const wire::peer::Request& request);

  private:
    std::optional<wire::peer::Answer> exchange(const Socket& socket, const std::string& frame);

    Endpoint endpoint_;
    std::chrono::milliseconds timeout_;
    std::mutex mutex_;  // guards idle_
    std::vector<Socket> idle_;
};

/// Accepts peers' connections and answers their requests, a thread a connection. It has no end: it
/// must outlive the process's other threads.
class PeerServer {
  public:
    /// Called from several threads at once.
    using Handler = std::function<wire::peer::Answer(const wire::peer::Request&)>;
    /// Gets the text of a log line, from several threads at once.
    using Complaint = std::function<void(const std::string&)>;
    PeerServer(Handler handler, Complaint complain)
        : handler_(std::move(handler)), complain_(std::move(complain)) {}
    /// Call before `run`. False: the address cannot be listened on.
    [[nodiscard]] bool bind(const Endpoint& endpoint);
    /// Accepts connections and never returns.
    [[noreturn]] void run();

  private:
    void serve(Socket socket);
    void complain_of_version();

    Handler handler_;
    Complaint complain_;
    Socket listening_;
    std::mutex mutex_;                                                 // guards complained_
    std::optional<std::chrono::steady_clock::time_point> complained_;  // of another version
};

}  // namespace bendspindle::io
