/// One HTTP connection in the form that cpp-httplib reads and writes, as a server or as a client.
/// Used only by `HttpServer` and `HttpClient`, on the thread of the connection.
#pragma once

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "io/message_head.hpp"

namespace bendspindle::io {

/// Limits on each message that a stream receives.
struct StreamLimits {
    std::chrono::milliseconds wait{5'000};           ///< for the remote end, each time
    std::chrono::milliseconds message_time{20'000};  ///< from the start of reading to the last byte
    std::size_t max_body_bytes = 0;                  ///< as transmitted
};

/// A buffered stream that blocks in poll(2) and sends the head and body of a message as one
/// segment. The keep-alive loop of the library wakes a hundred times per second for each idle
/// connection, which is too expensive for a process with a small share of a core. The library gets
/// the reduced form of each head (`MessageHeadReader`) and no body beyond the limits. Does not own
/// the socket.
class ConnectionStream : public httplib::Stream {
  public:
    ConnectionStream(int fd, MessageKind received, StreamLimits limits)
        : fd_(fd), received_(received), limits_(limits) {}

    /// Returns whether the next message begins within `timeout`.
    [[nodiscard]] bool wait_for_message(std::chrono::milliseconds timeout);
    /// Reads the head of the next message, for `read` to return before the body. Returns
    /// `incomplete` if the connection was closed or the limits on time were exceeded.
    [[nodiscard]] HeadStatus read_head();
    /// Returns the start line of the head that was read last.
    [[nodiscard]] std::string_view start_line() const {
        return std::string_view(head_).substr(0, head_.find('\r'));
    }
    /// Sends the buffered output. Returns false if the connection can no longer be used.
    [[nodiscard]] bool flush();
    /// Returns whether bytes of a message were not read, because it exceeded the limits or the
    /// connection failed. The next message cannot be found then.
    [[nodiscard]] bool lost_message_boundary() const { return lost_message_boundary_; }
    /// Returns whether the remote end has closed the connection.
    [[nodiscard]] bool closed_by_remote_end() const { return closed_by_remote_end_; }

    bool is_readable() const override;
    bool is_writable() const override { return true; }
    /// Reads the head first if `read_head` was not called.
    ssize_t read(char* ptr, size_t size) override;
    /// Buffers the bytes until `flush`, or until the next `read`.
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return fd_; }

  private:
    using Clock = std::chrono::steady_clock;

    void begin_message();
    [[nodiscard]] HeadStatus read_one_head(MessageHeadReader& reader);
    ssize_t read_head_bytes(char* ptr, size_t size);
    ssize_t read_body_bytes(char* ptr, size_t size);
    /// Fills `in_` if it is empty. Returns the number of unread bytes like read(2): 0 at the end of
    /// the stream, -1 after an error or a timeout.
    ssize_t receive();

    int fd_;
    MessageKind received_;
    StreamLimits limits_;
    std::array<char, 4096> in_{};
    std::size_t begin_ = 0;  // unread bytes of `in_`: from begin_ to end_
    std::size_t end_ = 0;
    std::string out_;
    std::string head_;  // the reduced head, of which head_read_ bytes were read
    std::size_t head_read_ = 0;
    std::size_t body_left_ = 0;  // bytes that may still be read
    Clock::time_point deadline_{};
    bool lost_message_boundary_ = false;
    bool closed_by_remote_end_ = false;
};

}  // namespace bendspindle::io
