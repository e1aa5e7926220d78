#include "io/http_server.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>

#include "io/connection_pool.hpp"
#include "io/connection_stream.hpp"

namespace bendspindle::io {

namespace {

constexpr int accept_backlog = 128;
// If more connections than this share of the threads are open, each connection is closed after its
// response, so that idle connections do not block new ones.
constexpr double keep_alive_threshold = 0.8;

}  // namespace

HttpServer::HttpServer(HttpServerLimits limits) : limits_(limits) {
    // The library takes ownership of the raw pointer and deletes it after it has stopped listening.
    new_task_queue = [max_threads = limits_.max_threads, max_waiting = limits_.max_waiting] {
        return std::make_unique<ConnectionPool>(max_threads, max_waiting).release();
    };
    set_payload_max_length(limits_.max_body_bytes);
    set_keep_alive_max_count(1'000'000);
    set_keep_alive_timeout(limits_.idle_timeout.count());
    set_tcp_nodelay(true);
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
    const int on = 1;
    ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ++open_connections_;
    {
        ConnectionStream stream(sock, limits_.message_timeout);
        while (stream.wait_for_request(limits_.idle_timeout)) {
            const bool close_after =
                stopping_ || static_cast<double>(open_connections_) >
                                 static_cast<double>(limits_.max_threads) * keep_alive_threshold;
            bool closed = false;
            ++active_requests_;
            const bool ok = process_request(stream, close_after, closed, nullptr);
            const bool flushed = stream.flush();
            --active_requests_;
            if (!flushed || !ok || closed || close_after) break;
        }
    }
    --open_connections_;
    ::shutdown(sock, SHUT_RDWR);
    ::close(sock);
    return true;
}

}  // namespace bendspindle::io
