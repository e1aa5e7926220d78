// Connections beyond what can be served and may wait are turned away at once.
#include "io/http_server.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <thread>

namespace bendspindle::io {
namespace {

using namespace std::chrono_literals;

// Connections that pile up once took every socket of the process.
TEST(HttpServer, TurnsAwayWhatCanNotWait) {
    const int port = 23000 + static_cast<int>(::getpid() % 1000);
    HttpServerLimits limits;
    limits.max_threads = 2;
    limits.max_waiting = 3;
    HttpServer server(limits);
    std::atomic<bool> open{false};
    std::atomic<int> inside{0};
    server.Get("/", [&](const httplib::Request&, httplib::Response& response) {
        ++inside;
        while (!open) std::this_thread::sleep_for(1ms);
        response.status = 200;
    });
    ASSERT_TRUE(server.bind("127.0.0.1", port));
    std::thread serving([&] { server.listen_after_bind(); });
    while (!server.is_running()) std::this_thread::sleep_for(1ms);
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> users;
    const auto ask = [&] {
        httplib::Client client("127.0.0.1", port);
        client.set_read_timeout(60s);
        const auto result = client.Get("/");
        ++(result && result->status == 200 ? answered : refused);
    };
    for (int i = 0; i < 2; ++i) users.emplace_back(ask);
    while (inside < 2) std::this_thread::sleep_for(1ms);
    for (int i = 0; i < 8; ++i) users.emplace_back(ask);
    // Of the eight, three wait and five learn at once that they had better go elsewhere.
    while (refused < 5) std::this_thread::sleep_for(1ms);
    open = true;
    for (auto& user : users) user.join();
    EXPECT_EQ(answered, 5);
    EXPECT_EQ(refused, 5);
    server.stop();
    serving.join();
}

}  // namespace
}  // namespace bendspindle::io
