// The server for peers, and its handling of clients with a different protocol version.
#include "io/peer_link.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

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

// Sends the bytes and returns the answer; empty if the server closes the connection.
std::string send_and_receive(int port, const std::string& bytes) {
    const io::Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    const auto* raw = reinterpret_cast<const sockaddr*>(&address);
    if (::connect(socket.fd(), raw, sizeof address) != 0) return "not connected";
    if (::send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) return "not sent";
    std::string answer(64, '\0');
    const auto n = ::recv(socket.fd(), answer.data(), answer.size(), 0);
    answer.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return answer;
}

// A peer with a different protocol version reconnects for every request. The server must report it
// once instead of once per request, and still serve peers with the same version.
TEST(PeerLink, VersionMismatchIsReportedOnce) {
    // The server runs until the process ends, as in a controller.
    static TestServer& test = *new TestServer;
    const int port = 12'000 + static_cast<int>(::getpid() % 1000);
    ASSERT_TRUE(test.server.bind({"127.0.0.1", port}));
    std::thread([] { test.server.run(); }).detach();

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

}  // namespace
}  // namespace bendspindle
