// The server for peers, and its handling of clients with a different protocol version.
#include "io/peer_link.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "standin/raw_connection.hpp"

namespace bendspindle {
namespace {

struct TestServer {
    std::atomic<int> reported_errors{0};
    std::atomic<int> requests{0};
    io::PeerServer server{[this](const wire::peer::Request&) {
                              ++requests;
                              return wire::peer::Answer{200, 0, 7, {}};
                          },
                          [this](const std::string&) { ++reported_errors; }};
};

// Returns the port of a server that runs until the process ends, as in a controller; 0 if it cannot
// listen.
int port_of_running(TestServer& test, int offset) {
    const int port = 12'000 + 2 * static_cast<int>(::getpid() % 500) + offset;
    if (!test.server.bind({"127.0.0.1", port})) return 0;
    std::thread([&test] { test.server.run(); }).detach();
    return port;
}

// Sends the bytes and returns the answer; empty if the server closes the connection.
std::string send_and_receive(int port, const std::string& bytes) {
    standin::RawConnection connection(port);
    if (!connection.connected()) return "not connected";
    if (!connection.send(bytes)) return "not sent";
    const auto answer = connection.receive(1, std::chrono::seconds(60));
    return answer.empty() && !connection.is_closed() ? "not closed" : answer;
}

// A peer with a different protocol version reconnects for every request. The server must report it
// once instead of once per request, and still serve peers with the same version.
TEST(PeerLink, VersionMismatchIsReportedOnce) {
    static TestServer& test = *new TestServer;
    const int port = port_of_running(test, 0);
    ASSERT_NE(port, 0);

    auto frame =
        wire::peer::pack(wire::peer::Request{wire::peer::Op::leader_announcement, 3, "c1", {}});
    auto other_version = frame;
    other_version[0] = static_cast<char>(wire::peer::version - 1);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(send_and_receive(port, other_version), "");
    EXPECT_EQ(test.reported_errors, 1);
    EXPECT_EQ(test.requests, 0);
    EXPECT_FALSE(send_and_receive(port, frame).empty());
    EXPECT_EQ(test.requests, 1);
}

TEST(PeerLink, AFrameThatArrivesByteByByteIsClosed) {
    static TestServer& test = *new TestServer;
    const int port = port_of_running(test, 1);
    ASSERT_NE(port, 0);
    const std::string id(100, 'c');
    const auto frame =
        wire::peer::pack(wire::peer::Request{wire::peer::Op::leader_announcement, 3, id, {}});
    standin::RawConnection connection(port);
    ASSERT_TRUE(connection.send(frame.substr(0, wire::peer::header_size)));
    constexpr std::chrono::milliseconds pause{500};
    constexpr std::chrono::seconds longest{13};
    const auto start = std::chrono::steady_clock::now();
    std::size_t sent = wire::peer::header_size;
    while (sent < frame.size() && std::chrono::steady_clock::now() - start < longest) {
        if (!connection.send(frame.substr(sent++, 1))) break;
        std::this_thread::sleep_for(pause);
    }
    EXPECT_LT(std::chrono::steady_clock::now() - start, longest);
    EXPECT_EQ(test.requests, 0);
}

}  // namespace
}  // namespace bendspindle
