/// HTTP client for the cloud, the key-value store, agents and the command line. Every step has a
/// short timeout, because calls hang during a network partition. Each user (`state`, `cloud`,
/// `agents`, the command line) owns its clients. Thread-safe.
#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bendspindle::io {

/// A host and port, written HOST:PORT in settings and by agents.
struct Endpoint {
    std::string host;
    int port = 0;
};
/// Returns nullopt if the host is empty or the port is invalid.
[[nodiscard]] std::optional<Endpoint> parse_endpoint(const std::string& text);

/// The response to a request, with any status.
struct HttpResponse {
    int status = 0;
    std::string body;
};

/// Logs that a service answered a call with what is not a message of the protocol.
void log_malformed_response(const std::string& from, const std::string& call);

/// A client of one host with a pool of kept-alive connections. Each call uses a connection of its
/// own, so calls do not wait for each other.
class HttpClient {
  public:
    HttpClient(Endpoint endpoint, std::chrono::milliseconds timeout);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Each call returns nullopt if no response arrived within the limits on its time and size; the
    /// request may have been executed or may still be executed. `extra_timeout` is added to the
    /// timeout, for calls that the server holds open.
    std::optional<HttpResponse> get(
        const std::string& path,
        std::chrono::milliseconds extra_timeout = std::chrono::milliseconds{0});
    std::optional<HttpResponse> post(const std::string& path, const std::string& body);
    std::optional<HttpResponse> erase(const std::string& path);

  private:
    class Connection;

    std::unique_ptr<Connection> acquire(std::chrono::milliseconds extra_timeout);
    void release(std::unique_ptr<Connection> client);

    Endpoint endpoint_;
    std::chrono::milliseconds timeout_;
    std::mutex mutex_;  // guards idle_
    std::vector<std::unique_ptr<Connection>> idle_;
};

}  // namespace bendspindle::io
