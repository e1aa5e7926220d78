#include "io/connection_stream.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "io/poll.hpp"

namespace bendspindle::io {

namespace {

using std::chrono::milliseconds;

// An interim response (100 to 199) precedes the response proper.
constexpr int first_final_status = 200;
constexpr int max_interim_responses = 4;

}  // namespace

bool ConnectionStream::wait_for_message(milliseconds timeout) {
    return begin_ < end_ || wait_for(fd_, POLLIN, timeout);
}

void ConnectionStream::begin_message() {
    head_.clear();
    head_read_ = 0;
    body_left_ = limits_.max_body_bytes;
    deadline_ = Clock::now() + limits_.message_time;
}

HeadStatus ConnectionStream::read_head() {
    begin_message();
    for (int i = 0; i <= max_interim_responses; ++i) {
        MessageHeadReader reader(received_);
        const auto status = read_one_head(reader);
        if (status != HeadStatus::complete) {
            lost_message_boundary_ = true;
            return status;
        }
        if (received_ == MessageKind::response && reader.status_code() < first_final_status)
            continue;
        head_ = reader.reduced_head();
        return status;
    }
    lost_message_boundary_ = true;
    return HeadStatus::malformed;
}

HeadStatus ConnectionStream::read_one_head(MessageHeadReader& reader) {
    while (reader.status() == HeadStatus::incomplete) {
        const auto unread = receive();
        if (unread <= 0) break;
        begin_ += reader.feed({in_.data() + begin_, static_cast<std::size_t>(unread)});
    }
    return reader.status();
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
            if (!wait_for(fd_, POLLOUT, limits_.wait)) return false;
        } else {
            return false;
        }
    }
    out_.clear();
    return true;
}

bool ConnectionStream::is_readable() const {
    return head_read_ < head_.size() || begin_ < end_ || wait_for(fd_, POLLIN, limits_.wait);
}

ssize_t ConnectionStream::receive() {
    if (begin_ < end_) return static_cast<ssize_t>(end_ - begin_);
    for (;;) {
        const auto n = ::recv(fd_, in_.data(), in_.size(), MSG_DONTWAIT);
        if (n >= 0) {
            begin_ = 0;
            end_ = static_cast<std::size_t>(n);
            closed_by_remote_end_ = n == 0;
            return n;
        }
        if (errno == EINTR) continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) return -1;
        const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - Clock::now());
        if (left <= milliseconds{0}) return -1;
        if (!wait_for(fd_, POLLIN, std::min(left, limits_.wait))) return -1;
    }
}

ssize_t ConnectionStream::read(char* ptr, size_t size) {
    // Sends buffered output first: a client with `Expect: 100-continue` waits for it before it
    // sends the body, and a server waits for the request.
    if (!out_.empty() && !flush()) return -1;
    if (head_.empty() && read_head() != HeadStatus::complete) return -1;
    if (head_read_ < head_.size()) return read_head_bytes(ptr, size);
    return read_body_bytes(ptr, size);
}

ssize_t ConnectionStream::read_head_bytes(char* ptr, size_t size) {
    const auto n = std::min(size, head_.size() - head_read_);
    std::memcpy(ptr, head_.data() + head_read_, n);
    head_read_ += n;
    return static_cast<ssize_t>(n);
}

ssize_t ConnectionStream::read_body_bytes(char* ptr, size_t size) {
    const auto unread = body_left_ == 0 ? -1 : receive();
    if (unread <= 0) {
        lost_message_boundary_ = true;
        return unread;
    }
    const auto n = std::min({size, static_cast<std::size_t>(unread), body_left_});
    std::memcpy(ptr, in_.data() + begin_, n);
    begin_ += n;
    body_left_ -= n;
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
