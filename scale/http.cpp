#include "http.hpp"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <system_error>
#include <utility>

namespace bendspindle::scale {

namespace {

constexpr std::size_t most_head = 16 * 1024;
constexpr std::size_t most_body = 4 * 1024 * 1024;
constexpr int accept_queue = 4096;
constexpr std::uint32_t loopback_net = 127U << 24;

sockaddr_in address_of(std::uint32_t host, std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(host);
    return out;
}

template <typename Number>
bool parse_number(std::string_view text, Number& out) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && end == text.data() + text.size();
}

bool same_word(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    return text;
}

std::string with_body(std::string head, const std::string& body) {
    head += "\r\nContent-Type: application/cbor\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n";
    return head + body;
}

}  // namespace

std::optional<HttpMessage> HttpReader::head(std::string_view text) {
    HttpMessage message;
    std::size_t length = 0;
    bool first = true;
    while (!text.empty()) {
        const auto line = text.substr(0, text.find("\r\n"));
        text.remove_prefix(std::min(line.size() + 2, text.size()));
        if (std::exchange(first, false)) {
            const auto space = line.find(' ');
            const auto second = line.find(' ', space + 1);
            if (space == std::string_view::npos) return std::nullopt;
            const auto word = line.substr(space + 1, second - space - 1);
            if (!line.starts_with("HTTP/")) {
                message.method = line.substr(0, space);
                message.target = word;
            } else if (!parse_number(word, message.status)) {
                return std::nullopt;
            }
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos) return std::nullopt;
        const auto name = line.substr(0, colon);
        const auto value = trimmed(line.substr(colon + 1));
        if (same_word(name, "transfer-encoding")) return std::nullopt;
        if (same_word(name, "connection")) message.close = same_word(value, "close");
        if (same_word(name, "content-length") &&
            (!parse_number(value, length) || length > most_body))
            return std::nullopt;
    }
    message.body.resize(length);
    return message;
}

std::optional<HttpMessage> HttpReader::next() {
    const auto end = buffer_.find("\r\n\r\n");
    if (broken_ || end == std::string::npos) {
        broken_ = broken_ || buffer_.size() > most_head;
        return std::nullopt;
    }
    auto message = head(std::string_view(buffer_).substr(0, end));
    if (!message) {
        broken_ = true;
        return std::nullopt;
    }
    const auto whole = end + 4 + message->body.size();
    if (buffer_.size() < whole) return std::nullopt;
    message->body.assign(buffer_, end + 4, message->body.size());
    buffer_.erase(0, whole);
    return message;
}

std::string request_text(const std::string& method, const std::string& target,
                         const std::string& body) {
    return with_body(method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1", body);
}

std::string response_text(int status, const std::string& body) {
    return with_body("HTTP/1.1 " + std::to_string(status) + " -", body);
}

void HttpClient::send(std::uint16_t port, std::string request, Clock::duration limit,
                      OnAnswer on_answer) {
    if (socket_ >= 0 && port_ != port) drop_connection();
    request_ = std::move(request);
    sent_ = 0;
    on_answer_ = std::move(on_answer);
    reused_ = socket_ >= 0;
    ++traffic_.messages;
    traffic_.bytes_out += request_.size();
    const auto serial = ++serial_;
    loop_.at(Clock::now() + limit, [this, serial, alive = std::weak_ptr(alive_)] {
        if (alive.expired() || serial != serial_ || !on_answer_) return;
        drop_connection();
        finish(std::nullopt);
    });
    if (socket_ < 0 && !connect(port)) {
        // The caller hears of it later, as of any other failure: not within its own call.
        loop_.at(Clock::now(), [this, serial, alive = std::weak_ptr(alive_)] {
            if (!alive.expired() && serial == serial_ && on_answer_) finish(std::nullopt);
        });
        return;
    }
    loop_.change(socket_, EPOLLIN | EPOLLOUT);
}

bool HttpClient::connect(std::uint16_t port) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket_ < 0) return false;
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(socket_, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    const auto from = address_of(from_, 0);
    const auto to = address_of(INADDR_LOOPBACK, port);
    if (::bind(socket_, reinterpret_cast<const sockaddr*>(&from), sizeof from) != 0 ||
        (::connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 &&
         errno != EINPROGRESS)) {
        ::close(std::exchange(socket_, -1));
        return false;
    }
    port_ = port;
    reader_ = {};
    loop_.watch(socket_, EPOLLIN | EPOLLOUT, [this](std::uint32_t events) { ready(events); });
    return true;
}

void HttpClient::ready(std::uint32_t events) {
    if (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) receive();
    if (socket_ >= 0 && (events & EPOLLOUT)) flush();
}

void HttpClient::flush() {
    while (sent_ < request_.size()) {
        const auto n =
            ::send(socket_, request_.data() + sent_, request_.size() - sent_, MSG_NOSIGNAL);
        if (n <= 0) return;
        sent_ += static_cast<std::size_t>(n);
    }
    loop_.change(socket_, EPOLLIN);
}

void HttpClient::receive() {
    std::array<char, 16 * 1024> bytes;
    const auto n = ::recv(socket_, bytes.data(), bytes.size(), 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n > 0) {
        traffic_.bytes_in += static_cast<std::uint64_t>(n);
        reader_.append({bytes.data(), static_cast<std::size_t>(n)});
        auto message = reader_.next();
        if (!message && !reader_.broken()) return;
        if (!message || message->close || !on_answer_) drop_connection();
        if (on_answer_) finish(std::move(message));
        return;
    }
    // A kept connection may have been closed just as the request was sent: once more, anew.
    const bool again = std::exchange(reused_, false) && on_answer_ && reader_.empty();
    const auto port = port_;
    drop_connection();
    if (!on_answer_) return;
    sent_ = 0;
    if (!again || !connect(port)) finish(std::nullopt);
}

void HttpClient::finish(std::optional<HttpMessage> answer) {
    const auto on_answer = std::exchange(on_answer_, nullptr);
    on_answer(std::move(answer));
}

void HttpClient::drop_connection() {
    if (socket_ < 0) return;
    loop_.forget(socket_);
    ::close(std::exchange(socket_, -1));
}

void HttpClient::close() {
    on_answer_ = nullptr;
    ++serial_;
    drop_connection();
}

HttpListener::HttpListener(EventLoop& loop, std::uint16_t port, Handler handler)
    : loop_(loop), handler_(std::move(handler)) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = address_of(INADDR_ANY, port);
    if (::bind(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(socket_, accept_queue) != 0) {
        const auto error = errno;
        ::close(socket_);
        throw std::system_error(error, std::generic_category(), "port " + std::to_string(port));
    }
    loop_.watch(socket_, EPOLLIN, [this](std::uint32_t) { accept(); });
}

HttpListener::~HttpListener() {
    while (!connections_.empty()) drop(connections_.begin()->first);
    loop_.forget(socket_);
    ::close(socket_);
}

void HttpListener::accept() {
    for (;;) {
        const int peer = ::accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (peer < 0) return;
        sockaddr_in here{};
        socklen_t size = sizeof here;
        ::getsockname(peer, reinterpret_cast<sockaddr*>(&here), &size);
        const auto address = ntohl(here.sin_addr.s_addr);
        if ((address & (255U << 24)) != loopback_net) {
            ::close(peer);
            continue;
        }
        const int on = 1;
        ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        connections_[peer].address = address;
        loop_.watch(peer, EPOLLIN, [this, peer](std::uint32_t events) { ready(peer, events); });
    }
}

void HttpListener::ready(int socket, std::uint32_t events) {
    auto& connection = connections_.at(socket);
    if (events & EPOLLOUT) {
        if (!flush(socket, connection)) return drop(socket);
    }
    if (!(events & (EPOLLIN | EPOLLERR | EPOLLHUP))) return;
    std::array<char, 16 * 1024> bytes;
    const auto n = ::recv(socket, bytes.data(), bytes.size(), 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n <= 0) return drop(socket);
    traffic_.bytes_in += static_cast<std::uint64_t>(n);
    connection.reader.append({bytes.data(), static_cast<std::size_t>(n)});
    if (!answer(socket, connection)) drop(socket);
}

bool HttpListener::answer(int socket, Connection& connection) {
    while (const auto request = connection.reader.next()) {
        ++traffic_.messages;
        const auto result = handler_(*request, connection.address);
        if (!result) continue;
        const auto text = response_text(result->first, result->second);
        traffic_.bytes_out += text.size();
        connection.out += text;
    }
    return !connection.reader.broken() && flush(socket, connection);
}

bool HttpListener::flush(int socket, Connection& connection) {
    while (!connection.out.empty()) {
        const auto n = ::send(socket, connection.out.data(), connection.out.size(), MSG_NOSIGNAL);
        if (n < 0 && errno == EAGAIN) {
            loop_.change(socket, EPOLLIN | EPOLLOUT);
            return true;
        }
        if (n <= 0) return false;
        connection.out.erase(0, static_cast<std::size_t>(n));
    }
    loop_.change(socket, EPOLLIN);
    return true;
}

void HttpListener::drop(int socket) {
    loop_.forget(socket);
    ::close(socket);
    connections_.erase(socket);
}

// Connections that ended a moment ago keep the port from being bound by some, but nobody listens.
bool port_in_use(std::uint16_t port) {
    const auto open = [] { return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); };
    const int caller = open();
    const auto there = address_of(INADDR_LOOPBACK, port);
    const bool heard =
        ::connect(caller, reinterpret_cast<const sockaddr*>(&there), sizeof there) == 0;
    ::close(caller);
    if (heard) return true;
    const int socket = open();
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    const auto at = address_of(INADDR_ANY, port);
    const bool taken = ::bind(socket, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0;
    ::close(socket);
    return taken;
}

}  // namespace bendspindle::scale
