#include "io/connection_stream.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "io/poll.hpp"

namespace bendspindle::io {

bool ConnectionStream::wait_for_request(std::chrono::milliseconds timeout) {
    return begin_ < end_ || wait_for(fd_, POLLIN, timeout);
}

bool ConnectionStream::flush() {
    std::size_t sent = 0;
    while (sent < out_.size()) {
        const auto n = ::send(fd_, out_.data() + sent, out_.size() - sent, MSG_NOSIGNAL);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
        } else if (n < 0 && errno == EINTR) {
            continue;
        } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            if (!wait_for(fd_, POLLOUT, timeout_)) return false;
        } else {
            return false;
        }
    }
    out_.clear();
    return true;
}

bool ConnectionStream::is_readable() const {
    return begin_ < end_ || wait_for(fd_, POLLIN, timeout_);
}

ssize_t ConnectionStream::receive() {
    for (;;) {
        const auto n = ::recv(fd_, in_.data(), in_.size(), MSG_DONTWAIT);
        if (n >= 0) return n;
        if (errno == EINTR) continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) return -1;
        if (!wait_for(fd_, POLLIN, timeout_)) return -1;
    }
}

ssize_t ConnectionStream::read(char* ptr, size_t size) {
    if (begin_ == end_) {
        // Sends buffered output first: a client with `Expect: 100-continue` waits for it before it
        // sends the body.
        if (!out_.empty() && !flush()) return -1;
        const auto received = receive();
        if (received <= 0) return received;
        begin_ = 0;
        end_ = static_cast<std::size_t>(received);
    }
    const auto n = std::min(size, end_ - begin_);
    std::memcpy(ptr, in_.data() + begin_, n);
    begin_ += n;
    return static_cast<ssize_t>(n);
}

ssize_t ConnectionStream::write(const char* ptr, size_t size) {
    out_.append(ptr, size);
    return static_cast<ssize_t>(size);
}

void ConnectionStream::get_remote_ip_and_port(std::string& ip, int& port) const {
    ip.clear();
    port = 0;
}

void ConnectionStream::get_local_ip_and_port(std::string& ip, int& port) const {
    ip.clear();
    port = 0;
}

}  // namespace bendspindle::io
