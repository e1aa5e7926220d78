#include "io/peer_link.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <thread>

#include "io/poll.hpp"

namespace bendspindle::io {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds connect_limit{700};
constexpr milliseconds idle_limit{60'000};
constexpr int accept_queue = 64;
constexpr std::size_t most_idle = 8;

bool send_all(int fd, const std::string& bytes, milliseconds limit) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n =
            ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
        } else if (n < 0 && errno == EINTR) {
            continue;
        } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            if (!wait_for(fd, POLLOUT, limit)) return false;
        } else {
            return false;
        }
    }
    return true;
}

bool receive_all(int fd, std::string& out, std::size_t size, milliseconds limit) {
    out.resize(size);
    std::size_t got = 0;
    while (got < size) {
        const auto n = ::recv(fd, out.data() + got, size - got, MSG_DONTWAIT);
        if (n > 0) {
            got += static_cast<std::size_t>(n);
            continue;
        }
        if (n == 0) return false;
        if (errno == EINTR) continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) return false;
        if (!wait_for(fd, POLLIN, limit)) return false;
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

void no_delay(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Socket connect_to(const Endpoint& endpoint) {
    const auto address = address_of(endpoint);
    if (!address) return Socket{};
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!socket) return Socket{};
    // The casts are how the sockets interface passes addresses.
    const auto* raw = reinterpret_cast<const sockaddr*>(&*address);
    if (::connect(socket.fd(), raw, sizeof *address) != 0) {
        if (errno != EINPROGRESS || !wait_for(socket.fd(), POLLOUT, connect_limit)) return Socket{};
        int error = 0;
        socklen_t size = sizeof error;
        if (::getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return Socket{};
    }
    no_delay(socket.fd());
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
    // A kept connection may have died unseen with the peer; what shows that at once is
    // dropped here and a new one made.
    if (socket && wait_for(socket.fd(), POLLIN, milliseconds{0})) socket = Socket{};
    if (!socket) socket = connect_to(endpoint_);
    if (!socket) return std::nullopt;
    auto answer = exchange(socket, wire::peer::pack(request));
    if (!answer) return std::nullopt;
    const std::lock_guard lock(mutex_);
    if (idle_.size() < most_idle) idle_.push_back(std::move(socket));
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
    if (::listen(socket.fd(), accept_queue) != 0) return false;
    listening_ = std::move(socket);
    return true;
}

void PeerServer::run() {
    for (;;) {
        Socket socket(::accept4(listening_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
        if (!socket) {
            // Out of sockets or a connection that went away: leave the others a moment.
            std::this_thread::sleep_for(milliseconds{20});
            continue;
        }
        no_delay(socket.fd());
        try {
            // Detached: the server lives as long as the process, and a link ends with its peer.
            std::thread([this, s = std::move(socket)]() mutable { serve(std::move(s)); }).detach();
        } catch (const std::system_error&) {
            std::this_thread::sleep_for(milliseconds{20});
        }
    }
}

// Rate-limited against a log full of one line: such a peer comes back with every request
// (tests/peer_link_test.cpp).
void PeerServer::complain_of_version() {
    constexpr std::chrono::minutes again{10};
    const auto now = std::chrono::steady_clock::now();
    {
        const std::lock_guard lock(mutex_);
        if (complained_ && now - *complained_ < again) return;
        complained_ = now;
    }
    complain_("a sibling speaks another version of the peer protocol; its requests are refused");
}

void PeerServer::serve(Socket socket) {
    constexpr milliseconds message_limit{2000};
    std::string bytes;
    while (wait_for(socket.fd(), POLLIN, idle_limit)) {
        if (!receive_all(socket.fd(), bytes, wire::peer::header_size, message_limit)) return;
        const auto [header, error] = wire::peer::parse_header(bytes);
        if (error != wire::peer::HeaderError::none) {
            if (error == wire::peer::HeaderError::version)
                complain_of_version();
            else
                complain_("malformed header on a peer link");
            return;
        }
        if (!receive_all(socket.fd(), bytes, header.length, message_limit)) return;
        const auto request = wire::peer::parse_request(header.kind, bytes);
        if (!request) {
            complain_("malformed request on a peer link");
            return;
        }
        if (!send_all(socket.fd(), wire::peer::pack(handler_(*request)), message_limit)) return;
    }
}

}  // namespace bendspindle::io
