// The HTTP server closes connections that exceed its threads and its queue, and keeps exceptions of
// handlers in their request.
#include "io/http_server.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>

namespace bendspindle::io {
namespace {

using namespace std::chrono_literals;

// A server that listens until the end of its scope.
class RunningServer {
  public:
    RunningServer(HttpServerLimits limits, HttpServer::Handler handler)
        : server_(limits, std::move(handler)) {
        if (!server_.bind("127.0.0.1", port_)) return;
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running()) std::this_thread::sleep_for(1ms);
    }
    ~RunningServer() {
        if (!listens()) return;
        server_.stop();
        thread_.join();
    }
    RunningServer(const RunningServer&) = delete;
    RunningServer& operator=(const RunningServer&) = delete;

    bool listens() const { return thread_.joinable(); }
    int port() const { return port_; }

  private:
    const int port_ = 23'000 + static_cast<int>(::getpid() % 1000);
    HttpServer server_;
    std::thread thread_;
};

// Without a limit on waiting connections, accumulated connections use up all sockets of the
// process.
TEST(HttpServer, ClosesConnectionsBeyondTheQueue) {
    HttpServerLimits limits;
    limits.max_threads = 2;
    limits.max_waiting = 3;
    std::atomic<bool> release_handlers{false};
    std::atomic<int> in_handler{0};
    const RunningServer server(limits, [&](const HttpRequest&) {
        ++in_handler;
        while (!release_handlers) std::this_thread::sleep_for(1ms);
        return wire::Response{wire::http_status::ok, 0, {}};
    });
    ASSERT_TRUE(server.listens());
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> clients;
    const auto send_request = [&] {
        httplib::Client client("127.0.0.1", server.port());
        client.set_read_timeout(60s);
        const auto result = client.Get("/");
        ++(result && result->status == 200 ? served : refused);
    };
    for (int i = 0; i < 2; ++i) clients.emplace_back(send_request);
    while (in_handler < 2) std::this_thread::sleep_for(1ms);
    for (int i = 0; i < 8; ++i) clients.emplace_back(send_request);
    // Of the eight connections, three wait and five are closed immediately.
    while (refused < 5) std::this_thread::sleep_for(1ms);
    release_handlers = true;
    for (auto& client_thread : clients) client_thread.join();
    EXPECT_EQ(served, 5);
    EXPECT_EQ(refused, 5);
}

// Guards against the end of the process by an exception of a handler.
TEST(HttpServer, AnExceptionOfAHandlerCostsOnlyItsRequest) {
    const RunningServer server({}, [](const HttpRequest& request) -> wire::Response {
        if (request.path == "/fails") throw std::runtime_error("the handler failed");
        return {wire::http_status::ok, 0, {}};
    });
    ASSERT_TRUE(server.listens());
    httplib::Client client("127.0.0.1", server.port());
    for (int i = 0; i < 2; ++i) {
        const auto failed = client.Get("/fails");
        ASSERT_TRUE(failed);
        EXPECT_EQ(failed->status, 500);
        EXPECT_EQ(failed->body, wire::error_body("internal error"));
        EXPECT_FALSE(failed->has_header("EXCEPTION_WHAT"));
        const auto served = client.Get("/works");
        ASSERT_TRUE(served);
        EXPECT_EQ(served->status, 200);
    }
}

}  // namespace
}  // namespace bendspindle::io
