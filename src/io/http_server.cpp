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

constexpr int accept_queue = 128;
// Beyond this share of the threads, connections are ended after their answer, so that idle ones
// do not keep others out.
constexpr double crowded = 0.8;

}  // namespace

HttpServer::HttpServer(HttpServerLimits limits) : limits_(limits) {
    // The library takes the raw pointer and deletes it when it has stopped listening.
    new_task_queue = [threads = limits_.max_threads, waiting = limits_.max_waiting] {
        return std::make_unique<ConnectionPool>(threads, waiting).release();
    };
    set_payload_max_length(limits_.max_body);
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
    if (ConnectionPool::turning_away()) {
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
                static_cast<double>(open_) > static_cast<double>(limits_.max_threads) * crowded;
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
