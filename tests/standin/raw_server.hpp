// A server on loopback that answers each request with bytes as they are, well-formed or not.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace bendspindle::standin {

class RawServer {
  public:
    // Returns what is sent for a request; the connection is closed afterwards. Called concurrently.
    using Answer = std::function<std::string(const std::string& request)>;

    RawServer(int port, Answer answer);
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    int requests() const { return requests_; }
    // Sends each answer one byte at a time, so often.
    void slow_down(std::chrono::milliseconds each_byte) { each_byte_ = each_byte; }

  private:
    void accept_connections();
    void serve(int fd);

    Answer answer_;
    int listening_ = -1;
    std::atomic<int> requests_{0};
    std::atomic<bool> ending_{false};
    std::atomic<std::chrono::milliseconds> each_byte_{std::chrono::milliseconds{0}};
    std::vector<std::jthread> threads_;
    std::jthread acceptor_;
};

}  // namespace bendspindle::standin
