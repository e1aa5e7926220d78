#include "io/http_server.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <thread>

#include "io/poll.hpp"

namespace bendspindle::io {

namespace {

constexpr int accept_queue = 128;
// Beyond this share of the threads, connections are ended after their answer, so that idle ones
// do not keep others out.
constexpr double crowded = 0.8;

// The library's own keep-alive loop wakes a hundred times a second for each idle connection,
// which a small share of a core cannot pay for. This stream blocks, and sends an answer's head and
// body as one segment.
class ConnectionStream : public httplib::Stream {
  public:
    ConnectionStream(int fd, std::chrono::milliseconds timeout) : fd_(fd), timeout_(timeout) {}

    bool wait_for_request(std::chrono::milliseconds timeout) {
        return begin_ < end_ || wait_for(fd_, POLLIN, timeout);
    }
    bool flush() {
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

    bool is_readable() const override { return begin_ < end_ || wait_for(fd_, POLLIN, timeout_); }
    bool is_writable() const override { return true; }
    ssize_t read(char* ptr, size_t size) override {
        if (begin_ == end_) {
            // `Expect: 100-continue` waits for what is still held back here.
            if (!out_.empty() && !flush()) return -1;
            for (;;) {
                const auto n = ::recv(fd_, in_.data(), in_.size(), MSG_DONTWAIT);
                if (n > 0) {
                    begin_ = 0;
                    end_ = static_cast<std::size_t>(n);
                    break;
                }
                if (n == 0) return 0;
                if (errno == EINTR) continue;
                if (errno != EAGAIN && errno != EWOULDBLOCK) return -1;
                if (!wait_for(fd_, POLLIN, timeout_)) return -1;
            }
        }
        const auto n = std::min(size, end_ - begin_);
        std::memcpy(ptr, in_.data() + begin_, n);
        begin_ += n;
        return static_cast<ssize_t>(n);
    }
    ssize_t write(const char* ptr, size_t size) override {
        out_.append(ptr, size);
        return static_cast<ssize_t>(size);
    }
    void get_remote_ip_and_port(std::string& ip, int& port) const override {
        ip.clear();
        port = 0;
    }
    void get_local_ip_and_port(std::string& ip, int& port) const override {
        ip.clear();
        port = 0;
    }
    socket_t socket() const override { return fd_; }

  private:
    int fd_;
    std::chrono::milliseconds timeout_;
    std::array<char, 4096> in_{};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    std::string out_;
};

}  // namespace

thread_local bool GrowingPool::turning_away_ = false;

void GrowingPool::enqueue(std::function<void()> fn) {
    bool grow = false;
    bool turn_away = false;
    {
        const std::lock_guard lock(mutex_);
        turn_away = queue_.size() >= most_waiting_;
        if (!turn_away) queue_.push_back(std::move(fn));
        if (!turn_away && queue_.size() > idle_ && threads_ < most_) {
            ++threads_;
            grow = true;
        }
    }
    // Guard against a process without sockets of its own: connections that had piled up while it
    // stood still took all of them, and it reached neither the state service nor a worker.
    if (turn_away) {
        turning_away_ = true;
        fn();  // NOLINT(bugprone-use-after-move): moved only when it was queued
        turning_away_ = false;
        return;
    }
    if (!grow) {
        wake_.notify_one();
        return;
    }
    try {
        std::thread([this] { work(); }).detach();
    } catch (const std::system_error&) {
        const std::lock_guard lock(mutex_);
        --threads_;  // the threads there are will come to it
    }
}

void GrowingPool::work() {
    std::unique_lock lock(mutex_);
    for (;;) {
        ++idle_;
        wake_.wait(lock, [&] { return stopping_ || !queue_.empty(); });
        --idle_;
        if (queue_.empty()) break;
        auto fn = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        fn();
        fn = nullptr;
        lock.lock();
    }
    if (--threads_ == 0) ended_.notify_all();
}

void GrowingPool::shutdown() {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    wake_.notify_all();
    ended_.wait(lock, [&] { return threads_ == 0; });
}

HttpServer::HttpServer(HttpServerLimits limits) : limits_(limits) {
    new_task_queue = [most = limits_.most_threads, waiting = limits_.most_waiting] {
        return new GrowingPool(most, waiting);
    };
    set_payload_max_length(limits_.most_body);
    set_keep_alive_max_count(1'000'000);
    set_keep_alive_timeout(limits_.idle.count());
    set_tcp_nodelay(true);
}

bool HttpServer::bind(const std::string& host, int port) {
    if (!bind_to_port(host, port)) return false;
    ::listen(svr_sock_, accept_queue);
    return true;
}

void HttpServer::stop_accepting() {
    closing_ = true;
    stop();
}

bool HttpServer::process_and_close_socket(socket_t sock) {
    if (GrowingPool::turning_away()) {
        ::close(sock);
        return true;
    }
    const int on = 1;
    ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ++open_;
    {
        ConnectionStream stream(sock, limits_.message);
        while (stream.wait_for_request(limits_.idle)) {
            const bool close_after =
                closing_ ||
                static_cast<double>(open_) > static_cast<double>(limits_.most_threads) * crowded;
            bool closed = false;
            ++answering_;
            const bool ok = process_request(stream, close_after, closed, nullptr);
            const bool flushed = stream.flush();
            --answering_;
            if (!flushed || !ok || closed || close_after) break;
        }
    }
    --open_;
    ::shutdown(sock, SHUT_RDWR);
    ::close(sock);
    return true;
}

}  // namespace bendspindle::io
