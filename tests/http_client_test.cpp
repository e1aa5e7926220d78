// The HTTP client against servers that answer what they like.
#include "io/http_client.hpp"

#include <gtest/gtest.h>
#include <pthread.h>
#include <unistd.h>

#include <functional>

#include "standin/raw_server.hpp"

namespace bendspindle::io {
namespace {

using namespace std::chrono_literals;

// Runs the function on a thread with a stack as small as those of a controller.
void run_on_small_stack(std::function<void()> function) {
    constexpr std::size_t stack_bytes = 256 * 1024;
    pthread_attr_t attributes;
    ASSERT_EQ(::pthread_attr_init(&attributes), 0);
    ASSERT_EQ(::pthread_attr_setstacksize(&attributes, stack_bytes), 0);
    pthread_t thread{};
    const auto run = [](void* argument) -> void* {
        (*static_cast<std::function<void()>*>(argument))();
        return nullptr;
    };
    ASSERT_EQ(::pthread_create(&thread, &attributes, run, &function), 0);
    ::pthread_join(thread, nullptr);
    ::pthread_attr_destroy(&attributes);
}

class HttpClientTest : public testing::Test {
  protected:
    std::optional<HttpResponse> get(const std::string& answer) {
        answer_ = answer;
        std::optional<HttpResponse> response;
        run_on_small_stack([&] {
            HttpClient client({"127.0.0.1", port_}, timeout_);
            response = client.get("/");
        });
        return response;
    }

    static void expect_ok(const std::optional<HttpResponse>& response) {
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 200);
        EXPECT_EQ(response->body, "ok");
    }

    const std::chrono::milliseconds timeout_{500};
    const int port_ = 24'000 + static_cast<int>(::getpid() % 1000);
    std::string answer_;
    standin::RawServer server_{port_, [this](const std::string&) { return answer_; }};
};

// Guards against a stack overflow by a long status line of the store, the cloud or an agent.
TEST_F(HttpClientTest, ALongStatusLineDoesNotOverflowASmallStack) {
    const auto response =
        get("HTTP/1.1 200 " + std::string(7000, 'a') + "\r\nContent-Length: 2\r\n\r\nok");
    expect_ok(response);
    EXPECT_FALSE(get("HTTP/1.1 200 " + std::string(100'000, 'a') + "\r\n\r\n"));
}

TEST_F(HttpClientTest, ReadsAResponseAfterInterimResponses) {
    const auto response =
        get("HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    expect_ok(response);
}

TEST_F(HttpClientTest, DropsMalformedResponses) {
    std::string interim;
    for (int i = 0; i < 100; ++i) interim += "HTTP/1.1 100 Continue\r\n\r\n";
    std::string headers = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 2000; ++i) headers += "A" + std::to_string(i) + ": b\r\n";
    EXPECT_FALSE(get(interim + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    EXPECT_FALSE(get(headers + "\r\n"));
    EXPECT_FALSE(get("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"));
    EXPECT_FALSE(get("HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999999\r\n\r\n"));
    EXPECT_FALSE(get("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ncut"));
    EXPECT_FALSE(get("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"));
    EXPECT_FALSE(get("garbage"));
    EXPECT_FALSE(get(""));
}

TEST_F(HttpClientTest, DropsAResponseThatIsTooLarge) {
    EXPECT_FALSE(get("HTTP/1.1 200 OK\r\n\r\n" + std::string(9 * 1024 * 1024, 'a')));
}

// A body of a few kilobytes may hold many megabytes when it is decompressed.
TEST_F(HttpClientTest, DecompressesNothing) {
    const auto response =
        get("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok");
    expect_ok(response);
}

// Each byte arrives within the timeout for one wait; the whole response must end as well.
TEST_F(HttpClientTest, GivesUpOnAResponseThatArrivesByteByByte) {
    server_.slow_down(100ms);
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_FALSE(get("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(300, 'a')));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 8 * timeout_);
}

}  // namespace
}  // namespace bendspindle::io
