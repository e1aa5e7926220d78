// A TCP connection to loopback that sends and receives bytes as they are.
#pragma once

#include <chrono>
#include <string>

namespace bendspindle::standin {

class RawConnection {
  public:
    explicit RawConnection(int port);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    bool connected() const { return fd_ >= 0; }
    // Returns false if the other end no longer takes bytes.
    bool send(const std::string& bytes);
    // Returns what arrives until the other end closes the connection, `enough` bytes have arrived,
    // or nothing arrives for the time.
    std::string receive(std::size_t enough, std::chrono::milliseconds wait);
    // Returns whether the other end has closed the connection and nothing is left to receive.
    bool is_closed() const;

  private:
    int fd_ = -1;
};

// Sends the bytes on a connection of their own. Returns the status of the HTTP response, 0 if there
// was none.
int status_of_request(int port, const std::string& bytes,
                      std::chrono::milliseconds wait = std::chrono::milliseconds{8000});

}  // namespace bendspindle::standin
