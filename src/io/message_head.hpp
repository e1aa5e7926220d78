/// The head of an HTTP message, which is the start line and the headers, as it arrives from another
/// process. The HTTP library matches parts of a head with regular expressions that recurse for each
/// character, and stores headers without a limit, so it gets only heads that passed this reader.
/// Used by `ConnectionStream`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bendspindle::io {

/// Limits on the head of a message.
struct HeadLimits {
    std::size_t max_start_line_bytes = 8000;
    std::size_t max_header_bytes = 16 * 1024;  ///< of all headers together
    std::size_t max_headers = 100;
};

/// How much of a head has arrived, or why it is refused.
enum class HeadStatus : std::uint8_t {
    incomplete,
    complete,
    malformed,
    start_line_too_long,
    headers_too_large,  ///< or too many
};

/// Which messages a reader accepts.
enum class MessageKind : std::uint8_t { request, response };

/// Reads one head from the bytes of a connection, piece by piece. Stores no more bytes than the
/// limits allow, and does work proportional to them.
class MessageHeadReader {
  public:
    explicit MessageHeadReader(MessageKind kind, HeadLimits limits = {})
        : kind_(kind), limits_(limits) {}

    /// Takes bytes until the head is complete or refused. Returns the number of bytes taken; the
    /// rest belongs to the body.
    std::size_t feed(std::string_view bytes);
    [[nodiscard]] HeadStatus status() const { return status_; }
    /// Returns the status code of a response.
    [[nodiscard]] int status_code() const { return status_code_; }
    /// Returns a complete head, reduced to what the project uses: the start line without a reason
    /// phrase, and the headers that delimit the body, end the connection or ask for an interim
    /// response.
    [[nodiscard]] std::string reduced_head() const;

  private:
    void end_line();
    HeadStatus read_start_line(std::string_view line);
    HeadStatus read_status_line(std::string_view line);
    HeadStatus read_header(std::string_view line);
    HeadStatus read_content_length(std::string_view value);
    HeadStatus read_transfer_encoding(std::string_view value);
    void read_connection(std::string_view value);

    MessageKind kind_;
    HeadLimits limits_;
    HeadStatus status_ = HeadStatus::incomplete;
    std::string line_;  // the bytes of a line that has not ended
    std::string start_line_;
    int status_code_ = 0;
    std::size_t header_bytes_ = 0;
    std::size_t headers_ = 0;
    std::optional<std::string> content_length_;
    bool chunked_ = false;
    bool close_ = false;
    bool keep_alive_ = false;
    bool expects_continue_ = false;
};

}  // namespace bendspindle::io
