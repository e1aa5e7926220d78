#include "standin/raw_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace bendspindle::standin {

namespace {

constexpr std::chrono::milliseconds look_every{50};

bool readable(int fd) {
    pollfd waiting{fd, POLLIN, 0};
    return ::poll(&waiting, 1, static_cast<int>(look_every.count())) > 0;
}

void send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) return;
        sent += static_cast<std::size_t>(n);
    }
}

}  // namespace

RawServer::RawServer(int port, Answer answer) : answer_(std::move(answer)) {
    listening_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(listening_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listening_, 64) != 0)
        throw std::runtime_error("port is taken");
    acceptor_ = std::jthread([this] { accept_connections(); });
}

RawServer::~RawServer() {
    ending_ = true;
    acceptor_.join();
    threads_.clear();
    ::close(listening_);
}

void RawServer::accept_connections() {
    while (!ending_) {
        if (!readable(listening_)) continue;
        const int fd = ::accept(listening_, nullptr, nullptr);
        if (fd >= 0) threads_.emplace_back([this, fd] { serve(fd); });
    }
}

void RawServer::serve(int fd) {
    std::string request;
    std::array<char, 4096> bytes{};
    // A request of the project arrives at once; its end is a pause.
    while (!ending_ && readable(fd)) {
        const auto n = ::recv(fd, bytes.data(), bytes.size(), 0);
        if (n <= 0) break;
        request.append(bytes.data(), static_cast<std::size_t>(n));
        if (request.find("\r\n\r\n") != std::string::npos) break;
    }
    if (!request.empty()) {
        ++requests_;
        const auto answer = answer_(request);
        const auto each_byte = each_byte_.load();
        if (each_byte.count() == 0) send_all(fd, answer);
        for (std::size_t i = 0; each_byte.count() > 0 && !ending_ && i < answer.size(); ++i) {
            send_all(fd, answer.substr(i, 1));
            std::this_thread::sleep_for(each_byte);
        }
    }
    // Reads what is left: closing a socket with unread bytes would reset the connection.
    ::shutdown(fd, SHUT_WR);
    while (!ending_ && readable(fd) && ::recv(fd, bytes.data(), bytes.size(), 0) > 0) {
    }
    ::close(fd);
}

}  // namespace bendspindle::standin
