/// One connection of an HttpServer in the form that cpp-httplib reads and writes. Used only by the
/// connection loop of the server, on the thread of the connection.
#pragma once

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

namespace bendspindle::io {

/// A buffered stream that blocks in poll(2) and sends the head and body of a response as one
/// segment. The keep-alive loop of the library wakes a hundred times per second for each idle
/// connection, which is too expensive for a process with a small share of a core. Does not own the
/// socket.
class ConnectionStream : public httplib::Stream {
  public:
    /// `timeout` limits each wait for the remote end within a message.
    ConnectionStream(int fd, std::chrono::milliseconds timeout) : fd_(fd), timeout_(timeout) {}

    /// Returns whether the next request begins within `timeout`.
    [[nodiscard]] bool wait_for_request(std::chrono::milliseconds timeout);
    /// Sends the buffered output. Returns false if the connection can no longer be used.
    [[nodiscard]] bool flush();

    bool is_readable() const override;
    bool is_writable() const override { return true; }
    ssize_t read(char* ptr, size_t size) override;
    /// Buffers the bytes until `flush`.
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return fd_; }

  private:
    /// Fills `in_`. Returns the number of bytes like read(2): 0 at the end of the stream, -1 after
    /// an error or a timeout.
    ssize_t receive();

    int fd_;
    std::chrono::milliseconds timeout_;
    std::array<char, 4096> in_{};
    std::size_t begin_ = 0;  // unread bytes of `in_`: from begin_ to end_
    std::size_t end_ = 0;
    std::string out_;
};

}  // namespace bendspindle::io
