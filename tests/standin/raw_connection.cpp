#include "standin/raw_connection.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>

namespace bendspindle::standin {

RawConnection::RawConnection(int port) {
    fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return;
    ::close(fd_);
    fd_ = -1;
}

RawConnection::~RawConnection() {
    if (fd_ >= 0) ::close(fd_);
}

bool RawConnection::send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string RawConnection::receive(std::size_t enough, std::chrono::milliseconds wait) {
    std::string received;
    std::array<char, 4096> bytes{};
    while (received.size() < enough) {
        pollfd waiting{fd_, POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(wait.count())) <= 0) break;
        const auto n = ::recv(fd_, bytes.data(), bytes.size(), 0);
        if (n <= 0) break;
        received.append(bytes.data(), static_cast<std::size_t>(n));
    }
    return received;
}

bool RawConnection::is_closed() const {
    char byte = 0;
    const auto n = ::recv(fd_, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

int status_of_request(int port, const std::string& bytes, std::chrono::milliseconds wait) {
    constexpr std::size_t status_line = 12;
    constexpr std::size_t status_begin = 9;
    RawConnection connection(port);
    if (!connection.connected()) return 0;
    connection.send(bytes);  // a server may answer and close before it has read everything
    const auto response = connection.receive(status_line, wait);
    return response.size() < status_line ? 0 : std::atoi(response.substr(status_begin, 3).c_str());
}

}  // namespace bendspindle::standin
