/// One connection of an HttpServer as cpp-httplib reads and writes it; used by the server's
/// connection loop alone, on the connection's thread.
#pragma once

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

namespace bendspindle::io {

/// The library's own keep-alive loop wakes a hundred times a second for each idle connection, which
/// a small share of a core cannot pay for. This stream blocks in poll(2), and sends an answer's
/// head and body as one segment. It does not own the socket.
class ConnectionStream : public httplib::Stream {
  public:
    /// `timeout` bounds each wait for the peer within a message.
    ConnectionStream(int fd, std::chrono::milliseconds timeout) : fd_(fd), timeout_(timeout) {}

    /// Whether the next request begins within the time.
    [[nodiscard]] bool wait_for_request(std::chrono::milliseconds timeout);
    /// Sends what has been written. False: the connection is of no more use.
    [[nodiscard]] bool flush();

    bool is_readable() const override;
    bool is_writable() const override { return true; }
    ssize_t read(char* ptr, size_t size) override;
    /// Holds the bytes back until `flush`.
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return fd_; }

  private:
    /// Fills `in_`. As read(2): bytes, 0 at the end, -1 for an error or a timeout.
    ssize_t receive();

    int fd_;
    std::chrono::milliseconds timeout_;
    std::array<char, 4096> in_{};
    std::size_t begin_ = 0;  // what is unread of `in_`
    std::size_t end_ = 0;
    std::string out_;
};

}  // namespace bendspindle::io
