// The server side of the links between controllers, against peers that speak otherwise.
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

struct Served {
    std::atomic<int> complaints{0};
    std::atomic<int> requests{0};
    io::PeerServer server{[this](const wire::peer::Request&) {
                              ++requests;
                              return wire::peer::Answer{200, 0, 7, {}};
                          },
                          [this](const std::string&) { ++complaints; }};
};

// What comes back for the bytes; empty when the server closes the link.
std::string answer_to(int port, const std::string& bytes) {
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

// One line in the log for a peer of another version, not one for each of its requests;
// peers of this version are served all the same.
TEST(PeerLink, AnotherVersionIsRefusedWithOneLine) {
    // The server runs until the process ends, as in a controller.
    static Served& served = *new Served;
    const int port = 33000 + static_cast<int>(::getpid() % 20000);
    ASSERT_TRUE(served.server.bind({"127.0.0.1", port}));
    std::thread([] { served.server.run(); }).detach();

    auto frame =
        wire::peer::pack(wire::peer::Request{wire::peer::Op::leader_announcement, 3, "c1", {}});
    auto older = frame;
    older[0] = static_cast<char>(wire::peer::version - 1);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(answer_to(port, older), "");
    EXPECT_EQ(served.complaints, 1);
    EXPECT_EQ(served.requests, 0);
    EXPECT_FALSE(answer_to(port, frame).empty());
    EXPECT_EQ(served.requests, 1);
}

}  // namespace
}  // namespace bendspindle
