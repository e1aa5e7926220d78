#include "io/http_client.hpp"

#include <httplib.h>

#include <charconv>

#include "io/connection_stream.hpp"
#include "io/log.hpp"

namespace bendspindle::io {

namespace {

constexpr std::chrono::milliseconds connect_timeout{1000};
constexpr const char* content_type = "application/cbor";
constexpr std::size_t max_idle_connections = 4;
// A watch returns all changes that the store still holds, which is the largest response.
constexpr std::size_t max_response_bytes = 8 * 1024 * 1024;
// A response may take this many times the timeout for each wait until its last byte has arrived.
constexpr int response_time_factor = 4;

std::optional<HttpResponse> to_response(httplib::Result result) {
    if (!result) return std::nullopt;
    return HttpResponse{result->status, std::move(result->body)};
}

}  // namespace

// A client of the library that reads responses through `ConnectionStream`, within its limits.
class HttpClient::Connection : public httplib::ClientImpl {
  public:
    using httplib::ClientImpl::ClientImpl;

    // Sets the time for each wait within a response.
    void set_response_timeout(std::chrono::milliseconds timeout) { response_timeout_ = timeout; }

  private:
    bool process_socket(const Socket& socket,
                        std::function<bool(httplib::Stream&)> exchange) override {
        ConnectionStream stream(
            socket.sock, MessageKind::response,
            {response_timeout_, response_timeout_ * response_time_factor, max_response_bytes});
        return exchange(stream);
    }

    std::chrono::milliseconds response_timeout_{0};
};

std::optional<Endpoint> parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) return std::nullopt;
    Endpoint out{text.substr(0, colon), 0};
    const auto* end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data() + colon + 1, end, out.port);
    if (error != std::errc{} || last != end || out.port < 1 || out.port > 65535)
        return std::nullopt;
    return out;
}

void log_malformed_response(const std::string& from, const std::string& call) {
    log::error("response_malformed", "from", from, "call", call);
}

HttpClient::HttpClient(Endpoint endpoint, std::chrono::milliseconds timeout)
    : endpoint_(std::move(endpoint)), timeout_(timeout) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Connection> HttpClient::acquire(
    std::chrono::milliseconds extra_timeout) {
    std::unique_ptr<Connection> client;
    {
        const std::lock_guard lock(mutex_);
        if (!idle_.empty()) {
            client = std::move(idle_.back());
            idle_.pop_back();
        }
    }
    if (!client) {
        client = std::make_unique<Connection>(endpoint_.host, endpoint_.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(connect_timeout);
    }
    client->set_response_timeout(timeout_ + extra_timeout);
    return client;
}

void HttpClient::release(std::unique_ptr<Connection> client) {
    const std::lock_guard lock(mutex_);
    if (idle_.size() < max_idle_connections) idle_.push_back(std::move(client));
}

std::optional<HttpResponse> HttpClient::get(const std::string& path,
                                            std::chrono::milliseconds extra_timeout) {
    auto client = acquire(extra_timeout);
    auto response = to_response(client->Get(path));
    if (response) release(std::move(client));
    return response;
}

std::optional<HttpResponse> HttpClient::post(const std::string& path, const std::string& body) {
    auto client = acquire({});
    auto response = to_response(client->Post(path, body, content_type));
    if (response) release(std::move(client));
    return response;
}

std::optional<HttpResponse> HttpClient::erase(const std::string& path) {
    auto client = acquire({});
    auto response = to_response(client->Delete(path));
    if (response) release(std::move(client));
    return response;
}

}  // namespace bendspindle::io
