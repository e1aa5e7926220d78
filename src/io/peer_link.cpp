#include "io/peer_link.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <exception>
#include <thread>

#include "io/crash_report.hpp"
#include "io/poll.hpp"

namespace bendspindle::io {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{700};
constexpr milliseconds idle_timeout{60'000};
constexpr int accept_backlog = 64;
constexpr std::size_t max_idle_connections = 8;

bool send_all(int fd, const std::string& bytes, milliseconds timeout) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n =
            ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
        } else if (n < 0 && errno == EINTR) {
            continue;
        } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            if (!wait_for(fd, POLLOUT, timeout)) return false;
        } else {
            return false;
        }
    }
    return true;
}

// `timeout` limits each wait, and `message_time` all of them together.
bool receive_all(int fd, std::string& out, std::size_t size, milliseconds timeout) {
    constexpr std::chrono::seconds message_time{10};
    const auto deadline = std::chrono::steady_clock::now() + message_time;
    out.resize(size);
    std::size_t received = 0;
    while (received < size) {
        const auto n = ::recv(fd, out.data() + received, size - received, MSG_DONTWAIT);
        if (n > 0) {
            received += static_cast<std::size_t>(n);
            continue;
        }
        if (n == 0) return false;
        if (errno == EINTR) continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) return false;
        if (std::chrono::steady_clock::now() > deadline || !wait_for(fd, POLLIN, timeout))
            return false;
    }
    return true;
}

std::optional<sockaddr_in> address_of(const Endpoint& endpoint) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    if (::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1) return std::nullopt;
    return address;
}

void set_no_delay(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Socket connect_to(const Endpoint& endpoint) {
    const auto address = address_of(endpoint);
    if (!address) return Socket{};
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!socket) return Socket{};
    // The sockets API passes addresses as pointers to the generic sockaddr.
    const auto* raw = reinterpret_cast<const sockaddr*>(&*address);
    if (::connect(socket.fd(), raw, sizeof *address) != 0) {
        if (errno != EINPROGRESS || !wait_for(socket.fd(), POLLOUT, connect_timeout))
            return Socket{};
        int error = 0;
        socklen_t size = sizeof error;
        if (::getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return Socket{};
    }
    set_no_delay(socket.fd());
    return socket;
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
    if (this != &other) {
        if (fd_ >= 0) ::close(fd_);
        fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
}

Socket::~Socket() {
    if (fd_ >= 0) ::close(fd_);
}

std::optional<wire::peer::Answer> PeerClient::exchange(const Socket& socket,
                                                       const std::string& frame) {
    if (!send_all(socket.fd(), frame, timeout_)) return std::nullopt;
    std::string bytes;
    if (!receive_all(socket.fd(), bytes, wire::peer::header_size, timeout_)) return std::nullopt;
    const auto [header, error] = wire::peer::parse_header(bytes);
    if (error != wire::peer::HeaderError::none) return std::nullopt;
    if (!receive_all(socket.fd(), bytes, header.length, timeout_)) return std::nullopt;
    return wire::peer::parse_answer(header.kind, bytes);
}

std::optional<wire::peer::Answer> PeerClient::call(const wire::peer::Request& request) {
    Socket socket;
    {
        const std::lock_guard lock(mutex_);
        if (!idle_.empty()) {
            socket = std::move(idle_.back());
            idle_.pop_back();
        }
    }
    // The peer may have closed a pooled connection. An idle connection that is readable was closed
    // or is broken, and is replaced by a new one.
    if (socket && wait_for(socket.fd(), POLLIN, milliseconds{0})) socket = Socket{};
    if (!socket) socket = connect_to(endpoint_);
    if (!socket) return std::nullopt;
    auto answer = exchange(socket, wire::peer::pack(request));
    if (!answer) return std::nullopt;
    const std::lock_guard lock(mutex_);
    if (idle_.size() < max_idle_connections) idle_.push_back(std::move(socket));
    return answer;
}

bool PeerServer::bind(const Endpoint& endpoint) {
    const auto address = address_of(endpoint);
    if (!address) return false;
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (!socket) return false;
    const int on = 1;
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto* raw = reinterpret_cast<const sockaddr*>(&*address);
    if (::bind(socket.fd(), raw, sizeof *address) != 0) return false;
    if (::listen(socket.fd(), accept_backlog) != 0) return false;
    listening_ = std::move(socket);
    return true;
}

void PeerServer::run() {
    for (;;) {
        Socket socket(::accept4(listening_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
        if (!socket) {
            // The process has no free socket, or the connection was aborted: wait briefly, so that
            // other connections can end.
            std::this_thread::sleep_for(milliseconds{20});
            continue;
        }
        set_no_delay(socket.fd());
        try {
            // Detached, because the server lives as long as the process; the thread ends when the
            // connection is closed.
            std::thread([this, s = std::move(socket)]() mutable {
                serve_guarded(std::move(s));
            }).detach();
        } catch (const std::system_error&) {
            std::this_thread::sleep_for(milliseconds{20});
        }
    }
}

// Reports a version mismatch at most once per interval: such a peer reconnects for every request
// and would fill the log with the same line (tests/peer_link_test.cpp).
void PeerServer::report_version_mismatch() {
    constexpr std::chrono::minutes report_interval{10};
    const auto now = std::chrono::steady_clock::now();
    {
        const std::lock_guard lock(mutex_);
        if (version_mismatch_reported_ && now - *version_mismatch_reported_ < report_interval)
            return;
        version_mismatch_reported_ = now;
    }
    report_error_("a peer uses a different version of the peer protocol; its requests are refused");
}

void PeerServer::serve_guarded(Socket socket) {
    const SignalStack signal_stack;
    try {
        serve(std::move(socket));
    } catch (const std::exception& error) {
        report_error_(error.what());
    }
}

void PeerServer::serve(Socket socket) {
    constexpr milliseconds message_timeout{2000};
    std::string bytes;
    while (wait_for(socket.fd(), POLLIN, idle_timeout)) {
        if (!receive_all(socket.fd(), bytes, wire::peer::header_size, message_timeout)) return;
        const auto [header, error] = wire::peer::parse_header(bytes);
        if (error != wire::peer::HeaderError::none) {
            if (error == wire::peer::HeaderError::version)
                report_version_mismatch();
            else
                report_error_("malformed header on a peer link");
            return;
        }
        if (!receive_all(socket.fd(), bytes, header.length, message_timeout)) return;
        const auto request = wire::peer::parse_request(header.kind, bytes);
        if (!request) {
            report_error_("malformed request on a peer link");
            return;
        }
        const CurrentRequest current("peer request " + std::to_string(header.kind));
        if (!send_all(socket.fd(), wire::peer::pack(handler_(*request)), message_timeout)) return;
    }
}

}  // namespace bendspindle::io
