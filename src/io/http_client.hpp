// Calls to the cloud and the state service, with short limits on every step: a cut hangs.
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

struct Endpoint {
    std::string host;
    int port = 0;
};
std::optional<Endpoint> parse_endpoint(const std::string& text);

struct HttpAnswer {
    int status = 0;
    std::string body;
};

// Kept-alive connections to one host; each call borrows one, so calls do not wait for each other.
class HttpClient {
  public:
    HttpClient(Endpoint endpoint, std::chrono::milliseconds timeout);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // nullopt: no answer; the request may have been executed, or may still be.
    std::optional<HttpAnswer> get(const std::string& path,
                                  std::chrono::milliseconds extra = std::chrono::milliseconds{0});
    std::optional<HttpAnswer> post(const std::string& path, const std::string& body);
    std::optional<HttpAnswer> erase(const std::string& path);

  private:
    std::unique_ptr<httplib::Client> borrow(std::chrono::milliseconds extra);
    void give_back(std::unique_ptr<httplib::Client> client);

    Endpoint endpoint_;
    std::chrono::milliseconds timeout_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<httplib::Client>> idle_;
};

}  // namespace bendspindle::io
