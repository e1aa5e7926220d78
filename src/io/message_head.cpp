#include "io/message_head.hpp"

#include <algorithm>
#include <cctype>

namespace bendspindle::io {

namespace {

constexpr std::string_view white_space = " \t";
constexpr std::size_t max_content_length_digits = 18;

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_control(char c) {
    return static_cast<unsigned char>(c) < ' ' && c != '\t';
}

// A character of a header's name (RFC 9110, section 5.6.2).
bool is_token(char c) {
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           punctuation.find(c) != std::string_view::npos;
}

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x)) ==
               std::tolower(static_cast<unsigned char>(y));
    });
}

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) return {};
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

}  // namespace

std::size_t MessageHeadReader::feed(std::string_view bytes) {
    std::size_t taken = 0;
    while (status_ == HeadStatus::incomplete && taken < bytes.size()) {
        const auto rest = bytes.substr(taken);
        const auto line_end = rest.find('\n');
        const auto size = line_end == std::string_view::npos ? rest.size() : line_end + 1;
        const bool in_start_line = start_line_.empty();
        const auto room =
            in_start_line ? limits_.max_start_line_bytes : limits_.max_header_bytes - header_bytes_;
        if (line_.size() + size > room) {
            status_ =
                in_start_line ? HeadStatus::start_line_too_long : HeadStatus::headers_too_large;
            break;
        }
        line_.append(rest.substr(0, size));
        taken += size;
        if (line_end != std::string_view::npos) end_line();
    }
    return taken;
}

// Handles the line in `line_`, which ends with a line feed.
void MessageHeadReader::end_line() {
    constexpr std::string_view terminator = "\r\n";
    std::string_view line = line_;
    if (!line.ends_with(terminator)) {
        status_ = HeadStatus::malformed;
        return;
    }
    line.remove_suffix(terminator.size());
    if (std::any_of(line.begin(), line.end(), is_control))
        status_ = HeadStatus::malformed;
    else if (start_line_.empty())
        status_ = read_start_line(line);
    else if (line.empty())
        status_ = HeadStatus::complete;
    else
        status_ = read_header(line);
    line_.clear();
}

HeadStatus MessageHeadReader::read_start_line(std::string_view line) {
    if (kind_ == MessageKind::response) return read_status_line(line);
    if (line.empty()) return HeadStatus::malformed;
    start_line_ = line;
    return HeadStatus::incomplete;
}

// Accepts `HTTP/1.1 200 reason` and drops the reason, which may be missing.
HeadStatus MessageHeadReader::read_status_line(std::string_view line) {
    constexpr std::string_view version_prefix = "HTTP/1.";
    constexpr std::size_t code_begin = version_prefix.size() + 2;
    constexpr std::size_t code_end = code_begin + 3;
    if (line.size() < code_end || !line.starts_with(version_prefix) ||
        !is_digit(line[code_begin - 2]) || line[code_begin - 1] != ' ' ||
        (line.size() > code_end && line[code_end] != ' '))
        return HeadStatus::malformed;
    for (const char digit : line.substr(code_begin, code_end - code_begin)) {
        if (!is_digit(digit)) return HeadStatus::malformed;
        status_code_ = status_code_ * 10 + (digit - '0');
    }
    start_line_ = line.substr(0, code_end);
    return HeadStatus::incomplete;
}

HeadStatus MessageHeadReader::read_header(std::string_view line) {
    header_bytes_ += line_.size();
    if (++headers_ > limits_.max_headers) return HeadStatus::headers_too_large;
    const auto colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) return HeadStatus::malformed;
    const auto name = line.substr(0, colon);
    if (!std::all_of(name.begin(), name.end(), is_token)) return HeadStatus::malformed;
    const auto value = trim(line.substr(colon + 1));
    if (equal_ignoring_case(name, "Content-Length")) return read_content_length(value);
    if (equal_ignoring_case(name, "Transfer-Encoding")) return read_transfer_encoding(value);
    if (equal_ignoring_case(name, "Connection")) read_connection(value);
    if (equal_ignoring_case(name, "Expect") && equal_ignoring_case(value, "100-continue"))
        expects_continue_ = true;
    return HeadStatus::incomplete;
}

// Two lengths, or a length beside a transfer encoding, leave open where the body ends.
HeadStatus MessageHeadReader::read_content_length(std::string_view value) {
    if (content_length_ || chunked_ || value.empty() || value.size() > max_content_length_digits ||
        !std::all_of(value.begin(), value.end(), is_digit))
        return HeadStatus::malformed;
    content_length_ = value;
    return HeadStatus::incomplete;
}

HeadStatus MessageHeadReader::read_transfer_encoding(std::string_view value) {
    if (content_length_ || chunked_ || !equal_ignoring_case(value, "chunked"))
        return HeadStatus::malformed;
    chunked_ = true;
    return HeadStatus::incomplete;
}

void MessageHeadReader::read_connection(std::string_view value) {
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        const auto option = trim(value.substr(0, comma));
        close_ = close_ || equal_ignoring_case(option, "close");
        keep_alive_ = keep_alive_ || equal_ignoring_case(option, "keep-alive");
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
}

std::string MessageHeadReader::reduced_head() const {
    std::string head = start_line_ + "\r\n";
    if (chunked_)
        head += "Transfer-Encoding: chunked\r\n";
    else if (content_length_)
        head += "Content-Length: " + *content_length_ + "\r\n";
    else if (kind_ == MessageKind::request)
        head += "Content-Length: 0\r\n";  // a request without a length has no body
    if (close_)
        head += "Connection: close\r\n";
    else if (keep_alive_)
        head += "Connection: Keep-Alive\r\n";
    if (expects_continue_) head += "Expect: 100-continue\r\n";
    return head + "\r\n";
}

}  // namespace bendspindle::io
