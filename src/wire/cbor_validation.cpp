#include "wire/cbor_validation.hpp"

#include <utf8proc.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>

namespace bendspindle::wire {

namespace {

// The first byte of a CBOR value: the major type in the upper three bits, and additional
// information in the lower five (RFC 8949, section 3).
enum class MajorType : std::uint8_t {
    unsigned_integer = 0,
    negative_integer = 1,
    bytes = 2,
    text = 3,
    list = 4,
    map = 5,
    tag = 6,
    simple = 7
};
constexpr std::uint8_t first_info_with_argument = 24;
constexpr std::uint8_t last_info_with_argument = 27;
constexpr std::uint8_t indefinite_length = 31;
constexpr std::uint8_t break_byte = 0xff;

constexpr std::uint8_t info_false = 20;
constexpr std::uint8_t info_true = 21;
constexpr std::uint8_t info_null = 22;
constexpr std::uint8_t info_half = 25;
constexpr std::uint8_t info_float = 26;
constexpr std::uint8_t info_double = 27;

struct Head {
    MajorType type = MajorType::simple;
    std::uint8_t info = 0;
    std::uint64_t argument = 0;  // the value, or the length
};

// A map or list whose end has not been reached.
struct Container {
    bool is_map = false;
    bool indefinite = false;
    bool at_key = false;          // of a map: the next value is a key
    std::uint64_t remaining = 0;  // keys and values that follow, if not indefinite
};

class Validator {
  public:
    explicit Validator(std::string_view bytes) : bytes_(bytes) {}

    bool run() {
        do {
            if (!read_value()) return false;
            leave_finished_containers();
        } while (depth_ > 0);
        return bytes_.empty();
    }

  private:
    // Reads a whole value, or the head of a container, or the end of an indefinite one.
    bool read_value() {
        if (at_break()) return leave_indefinite_container();
        const bool is_key = depth_ > 0 && innermost().is_map && innermost().at_key;
        const auto head = read_head();
        if (!head || (is_key && head->type != MajorType::text)) return false;
        count_value();
        switch (head->type) {
            case MajorType::unsigned_integer:
            case MajorType::negative_integer:
                return head->info != indefinite_length;
            case MajorType::text:
                return read_text(*head);
            case MajorType::list:
            case MajorType::map:
                return enter_container(*head);
            case MajorType::simple:
                return is_valid_simple(head->info);
            case MajorType::bytes:
            case MajorType::tag:
                break;
        }
        return false;
    }

    std::optional<Head> read_head() {
        if (bytes_.empty()) return std::nullopt;
        const auto first = static_cast<std::uint8_t>(bytes_.front());
        bytes_.remove_prefix(1);
        Head head;
        head.type = static_cast<MajorType>(first >> 5U);
        head.info = first & 0x1fU;
        head.argument = head.info;
        if (head.info < first_info_with_argument || head.info == indefinite_length) return head;
        if (head.info > last_info_with_argument) return std::nullopt;
        const std::size_t width = std::size_t{1} << (head.info - first_info_with_argument);
        if (bytes_.size() < width) return std::nullopt;
        head.argument = 0;
        for (std::size_t i = 0; i < width; ++i)
            head.argument = head.argument << 8U | static_cast<std::uint8_t>(bytes_[i]);
        bytes_.remove_prefix(width);
        return head;
    }

    bool read_text(const Head& head) {
        if (head.info != indefinite_length) return read_chunk(head.argument);
        while (!at_break()) {
            const auto chunk = read_head();
            if (!chunk || chunk->type != MajorType::text || chunk->info == indefinite_length ||
                !read_chunk(chunk->argument))
                return false;
        }
        bytes_.remove_prefix(1);
        return true;
    }

    bool read_chunk(std::uint64_t length) {
        if (length > bytes_.size() || !is_utf8(bytes_.substr(0, length))) return false;
        bytes_.remove_prefix(length);
        return true;
    }

    static bool is_valid_simple(std::uint8_t info) {
        switch (info) {
            case info_false:
            case info_true:
            case info_null:
            case info_half:
            case info_float:
            case info_double:
                return true;
            default:
                return false;
        }
    }

    bool enter_container(const Head& head) {
        if (depth_ == max_cbor_depth) return false;
        Container container;
        container.is_map = container.at_key = head.type == MajorType::map;
        container.indefinite = head.info == indefinite_length;
        if (!container.indefinite) {
            // Each value takes a byte or more.
            if (head.argument > bytes_.size()) return false;
            container.remaining = container.is_map ? head.argument * 2 : head.argument;
        }
        open_[static_cast<std::size_t>(depth_++)] = container;
        return true;
    }

    bool leave_indefinite_container() {
        if (depth_ == 0 || !innermost().indefinite) return false;
        if (innermost().is_map && !innermost().at_key) return false;
        bytes_.remove_prefix(1);
        --depth_;
        return true;
    }

    void leave_finished_containers() {
        while (depth_ > 0 && !innermost().indefinite && innermost().remaining == 0) --depth_;
    }

    // Counts a value that begins here as one of the innermost container.
    void count_value() {
        if (depth_ == 0) return;
        auto& container = innermost();
        container.at_key = container.is_map && !container.at_key;
        if (!container.indefinite) --container.remaining;
    }

    bool at_break() const {
        return !bytes_.empty() && static_cast<std::uint8_t>(bytes_.front()) == break_byte;
    }
    Container& innermost() { return open_[static_cast<std::size_t>(depth_ - 1)]; }

    std::string_view bytes_;
    std::array<Container, max_cbor_depth> open_;
    int depth_ = 0;
};

// Returns the number of bytes at the beginning of the text that are ASCII.
std::size_t ascii_prefix(std::string_view text) {
    constexpr unsigned char first_not_ascii = 0x80;
    constexpr std::uint64_t not_ascii = 0x8080808080808080;
    std::size_t length = 0;
    for (; length + sizeof(std::uint64_t) <= text.size(); length += sizeof(std::uint64_t)) {
        std::uint64_t word = 0;
        std::memcpy(&word, text.data() + length, sizeof word);
        if ((word & not_ascii) != 0) break;
    }
    while (length < text.size() && static_cast<unsigned char>(text[length]) < first_not_ascii)
        ++length;
    return length;
}

}  // namespace

bool is_valid_cbor(std::string_view bytes) {
    return Validator(bytes).run();
}

bool is_utf8(std::string_view text) {
    text.remove_prefix(ascii_prefix(text));
    while (!text.empty()) {
        // The library takes text as unsigned bytes.
        const auto* next = reinterpret_cast<const utf8proc_uint8_t*>(text.data());
        utf8proc_int32_t codepoint = 0;
        const auto length =
            utf8proc_iterate(next, static_cast<utf8proc_ssize_t>(text.size()), &codepoint);
        if (length <= 0) return false;
        text.remove_prefix(static_cast<std::size_t>(length));
    }
    return true;
}

}  // namespace bendspindle::wire
