/// Calls to the cloud, the key-value store and agents, with short limits on every step: across a
/// network partition a call hangs. Owned by each of its callers (`state`, `cloud`, `agents`, the
/// command line); any thread may call.
#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace httplib {
class Client;
}

namespace bendspindle::io {

/// HOST:PORT, as settings and agents give it.
struct Endpoint {
    std::string host;
    int port = 0;
};
/// nullopt without a host or with a port that is none.
[[nodiscard]] std::optional<Endpoint> parse_endpoint(const std::string& text);

/// Any answer, whatever its status.
struct HttpAnswer {
    int status = 0;
    std::string body;
};

/// Kept-alive connections to one host; each call borrows one, so calls do not wait for each other.
class HttpClient {
  public:
    HttpClient(Endpoint endpoint, std::chrono::milliseconds timeout);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// nullopt: no answer; the request may have been executed, or may still be. `extra` is added
    /// to the time limit, for a call that the server holds open.
    std::optional<HttpAnswer> get(const std::string& path,
                                  std::chrono::milliseconds extra = std::chrono::milliseconds{0});
    std::optional<HttpAnswer> post(const std::string& path, const std::string& body);
    std::optional<HttpAnswer> erase(const std::string& path);

  private:
    std::unique_ptr<httplib::Client> borrow(std::chrono::milliseconds extra);
    void give_back(std::unique_ptr<httplib::Client> client);

    Endpoint endpoint_;
    std::chrono::milliseconds timeout_;
    std::mutex mutex_;  // guards idle_
    std::vector<std::unique_ptr<httplib::Client>> idle_;
};

}  // namespace bendspindle::io
