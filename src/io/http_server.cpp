#include "io/http_server.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <exception>
#include <memory>
#include <utility>

#include "io/connection_pool.hpp"
#include "io/crash_report.hpp"
#include "io/log.hpp"
#include "io/poll.hpp"

namespace bendspindle::io {

namespace {

using std::chrono::milliseconds;

constexpr int accept_backlog = 128;
// If more connections than this share of the threads are open, each connection is closed after its
// response, so that idle connections do not block new ones.
constexpr double keep_alive_threshold = 0.8;
constexpr const char* content_type = "application/cbor";
// The only path that the library sees: it matches paths with regular expressions that recurse for
// each character.
constexpr const char* only_path = "/";
// A chunk may be as small as one byte, with a few bytes around it.
constexpr std::size_t max_transmitted_bytes_per_byte = 8;

// Counts something as long as it exists.
class ScopedCount {
  public:
    explicit ScopedCount(std::atomic<std::size_t>& counter) : counter_(counter) { ++counter_; }
    ~ScopedCount() { --counter_; }
    ScopedCount(const ScopedCount&) = delete;
    ScopedCount& operator=(const ScopedCount&) = delete;

  private:
    std::atomic<std::size_t>& counter_;
};

wire::Response refusal(HeadStatus status) {
    switch (status) {
        case HeadStatus::start_line_too_long:
            return {wire::http_status::uri_too_long, 0,
                    wire::error_body("the request line is too long")};
        case HeadStatus::headers_too_large:
            return {wire::http_status::headers_too_large, 0,
                    wire::error_body("the headers are too large or too many")};
        case HeadStatus::incomplete:
        case HeadStatus::complete:
        case HeadStatus::malformed:
            break;
    }
    return {wire::http_status::bad_request, 0, wire::error_body("the request is not HTTP/1.1")};
}

// Sends a response without the library, which has not seen the request.
void send_last_response(ConnectionStream& stream, const wire::Response& response) {
    const auto head = "HTTP/1.1 " + std::to_string(response.status) +
                      " Refused\r\nContent-Type: " + content_type +
                      "\r\nContent-Length: " + std::to_string(response.body.size()) +
                      "\r\nConnection: close\r\n\r\n";
    stream.write(head.data(), head.size());
    stream.write(response.body.data(), response.body.size());
    static_cast<void>(stream.flush());  // the connection ends either way
}

// Reads what the client still sends, within limits. Closing a socket with unread bytes resets the
// connection, and the client might lose the response.
void discard_input(int sock) {
    constexpr std::size_t max_bytes = 1024 * 1024;
    constexpr milliseconds wait{200};
    constexpr std::chrono::seconds time{2};
    ::shutdown(sock, SHUT_WR);
    const auto deadline = std::chrono::steady_clock::now() + time;
    std::array<char, 4096> bytes{};
    std::size_t received = 0;
    while (received < max_bytes && std::chrono::steady_clock::now() < deadline &&
           wait_for(sock, POLLIN, wait)) {
        const auto n = ::recv(sock, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (n <= 0) return;
        received += static_cast<std::size_t>(n);
    }
}

// Completes responses of requests that reached no handler: sets a status of the protocol and the
// usual error body.
void complete_error_response(const httplib::Request&, httplib::Response& response) {
    if (!response.body.empty()) return;
    // The protocol uses one status, 400, for bodies that are too large and for malformed ones.
    if (response.status == wire::http_status::payload_too_large)
        response.status = wire::http_status::bad_request;
    response.set_content(wire::error_body("not served"), content_type);
}

}  // namespace

HttpServer::HttpServer(HttpServerLimits limits, Handler handler)
    : limits_(limits), handler_(std::move(handler)) {
    // The library takes ownership of the raw pointer and deletes it after it has stopped listening.
    new_task_queue = [max_threads = limits_.max_threads, max_waiting = limits_.max_waiting] {
        return std::make_unique<ConnectionPool>(max_threads, max_waiting).release();
    };
    set_payload_max_length(limits_.max_body_bytes);
    set_keep_alive_max_count(1'000'000);
    set_keep_alive_timeout(limits_.idle_timeout.count());
    set_tcp_nodelay(true);
    const auto to_handler = [this](const httplib::Request& request, httplib::Response& response) {
        handle(request, response);
    };
    Get(only_path, to_handler);
    Post(only_path, to_handler);
    Put(only_path, to_handler);
    Patch(only_path, to_handler);
    Delete(only_path, to_handler);
    Options(only_path, to_handler);
    set_error_handler(complete_error_response);
}

bool HttpServer::bind(const std::string& host, int port) {
    if (!bind_to_port(host, port)) return false;
    ::listen(svr_sock_, accept_backlog);
    return true;
}

void HttpServer::stop_accepting() {
    stopping_ = true;
    stop();
}

bool HttpServer::process_and_close_socket(socket_t sock) {
    if (ConnectionPool::rejecting()) {
        ::close(sock);
        return true;
    }
    try {
        serve_connection(sock);
    } catch (const std::exception& error) {
        log::error("connection_failed", "cause", error.what());
    }
    ::shutdown(sock, SHUT_RDWR);
    ::close(sock);
    return true;
}

void HttpServer::serve_connection(socket_t sock) {
    const int on = 1;
    ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const ScopedCount counted(open_connections_);
    ConnectionStream stream(sock, MessageKind::request,
                            {limits_.message_timeout, limits_.request_timeout,
                             limits_.max_body_bytes * max_transmitted_bytes_per_byte});
    while (stream.wait_for_message(limits_.idle_timeout))
        if (!serve_request(stream)) break;
    if (stream.lost_message_boundary() && !stream.closed_by_remote_end()) discard_input(sock);
}

bool HttpServer::serve_request(ConnectionStream& stream) {
    const ScopedCount counted(active_requests_);
    const auto head = stream.read_head();
    if (head == HeadStatus::incomplete) return false;
    if (head != HeadStatus::complete) {
        log::debug("request_refused", "status", refusal(head).status);
        send_last_response(stream, refusal(head));
        return false;
    }
    const bool close_after =
        stopping_ || static_cast<double>(open_connections_) >
                         static_cast<double>(limits_.max_threads) * keep_alive_threshold;
    const CurrentRequest current(stream.start_line());
    bool closed = false;
    const bool ok = process_request(stream, close_after, closed, [](httplib::Request& request) {
        request.target = std::move(request.path);
        request.path = std::string(only_path);
    });
    return stream.flush() && ok && !closed && !close_after && !stream.lost_message_boundary();
}

void HttpServer::handle(const httplib::Request& request, httplib::Response& response) const {
    if (request.body.size() > limits_.max_body_bytes) {
        response.status = wire::http_status::payload_too_large;
        return;
    }
    const auto result = call_handler({request.method, request.target, request.body});
    response.status = result.status;
    if (result.retry_after > 0)
        response.set_header("Retry-After", std::to_string(result.retry_after));
    if (!result.body.empty()) response.set_content(result.body, content_type);
}

wire::Response HttpServer::call_handler(const HttpRequest& request) const {
    try {
        return handler_(request);
    } catch (const std::exception& error) {
        log::error("request_failed", "request", current_request(), "cause", error.what());
        return {wire::http_status::internal_error, 0, wire::error_body("internal error")};
    }
}

}  // namespace bendspindle::io
