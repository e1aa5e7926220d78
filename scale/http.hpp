// HTTP/1.1 for the event loop: what simulated agents, the cloud's stand-in and users need of it.
//
// cpp-httplib, which the rest of the project uses, blocks a thread for each connection. Bodies
// have a length here; chunked ones, which nobody in the protocol sends, are refused.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "event_loop.hpp"

namespace bendspindle::scale {

/// A request or a response.
struct HttpMessage {
    std::string method;  // of a request
    std::string target;  // of a request
    int status = 0;      // of a response
    bool close = false;  // the sender ends the connection after it
    std::string body;
};

/// Cuts a stream of bytes into messages.
class HttpReader {
  public:
    void append(std::string_view bytes) { buffer_.append(bytes); }
    /// The next whole message; nullopt: more bytes are needed, or the stream is broken.
    std::optional<HttpMessage> next();
    bool broken() const { return broken_; }
    bool empty() const { return buffer_.empty(); }

  private:
    std::optional<HttpMessage> head(std::string_view text);

    std::string buffer_;
    bool broken_ = false;
};

std::string request_text(const std::string& method, const std::string& target,
                         const std::string& body);
std::string response_text(int status, const std::string& body);

/// Messages and bytes that went through, both ways.
struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t bytes_in = 0;
};

/// One connection to whichever port is asked for last, kept alive; one request at a time.
class HttpClient {
  public:
    using OnAnswer = std::function<void(std::optional<HttpMessage>)>;

    /// `from`: the loopback address to come from.
    HttpClient(EventLoop& loop, std::uint32_t from) : loop_(loop), from_(from) {}
    ~HttpClient() { close(); }
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request to a port of 127.0.0.1. `on_answer` gets nullopt where the connection fails
    /// or no answer came in time.
    void send(std::uint16_t port, std::string request, Clock::duration limit, OnAnswer on_answer);
    bool busy() const { return static_cast<bool>(on_answer_); }
    /// Gives up the request under way without a word to its caller, and ends the connection.
    void close();
    const Traffic& traffic() const { return traffic_; }

  private:
    bool connect(std::uint16_t port);
    void ready(std::uint32_t events);
    void flush();
    void receive();
    void finish(std::optional<HttpMessage> answer);
    void drop_connection();

    EventLoop& loop_;
    std::uint32_t from_;
    int socket_ = -1;
    std::uint16_t port_ = 0;
    std::string request_;
    std::size_t sent_ = 0;
    bool reused_ = false;
    std::uint64_t serial_ = 0;
    // Timers outlive who set them.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    HttpReader reader_;
    OnAnswer on_answer_;
    Traffic traffic_;
};

/// A listening port and its connections. It listens on all addresses of loopback, so that each
/// simulated agent has an address of its own, and turns away whoever comes from elsewhere.
class HttpListener {
  public:
    /// The answer's status and body; nullopt: no answer, as from a machine that hangs.
    using Handler = std::function<std::optional<std::pair<int, std::string>>(
        const HttpMessage& request, std::uint32_t address)>;

    HttpListener(EventLoop& loop, std::uint16_t port, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;
    const Traffic& traffic() const { return traffic_; }

  private:
    struct Connection {
        std::uint32_t address = 0;  // that it was made to
        HttpReader reader;
        std::string out;
    };
    void accept();
    void ready(int socket, std::uint32_t events);
    bool answer(int socket, Connection& connection);
    bool flush(int socket, Connection& connection);
    void drop(int socket);

    EventLoop& loop_;
    Handler handler_;
    int socket_ = -1;
    std::unordered_map<int, Connection> connections_;
    Traffic traffic_;
};

/// Whether somebody listens at that port already.
bool port_in_use(std::uint16_t port);

}  // namespace bendspindle::scale
