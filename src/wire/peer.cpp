#include "wire/peer.hpp"

#include <algorithm>
#include <limits>
#include <type_traits>

namespace bendspindle::wire::peer {

namespace {

constexpr std::uint8_t answer_kind = 0x80;
// Limits the list of a snapshot so that it fits into a frame together with the other fields of the
// answer.
constexpr std::size_t max_snapshot_bytes = max_payload_bytes - 64;

template <typename Int>
void put(std::string& out, Int value) {
    static_assert(std::is_unsigned_v<Int>);
    for (int shift = static_cast<int>(sizeof(Int)) * 8 - 8; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> shift & 0xff));
}

// Reads fixed-width fields. After a read beyond the end, all values are zero or empty and
// `finished` returns false.
class Reader {
  public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}

    template <typename Int>
    Int get() {
        if (bytes_.size() < sizeof(Int)) return fail<Int>();
        Int value = 0;
        for (std::size_t i = 0; i < sizeof(Int); ++i)
            value = static_cast<Int>(value << 8 | static_cast<unsigned char>(bytes_[i]));
        bytes_.remove_prefix(sizeof(Int));
        return value;
    }
    std::string text(std::size_t length) {
        if (bytes_.size() < length) return fail<std::string>();
        std::string out(bytes_.substr(0, length));
        bytes_.remove_prefix(length);
        return out;
    }
    bool finished() const { return good_ && bytes_.empty(); }

  private:
    template <typename T>
    T fail() {
        good_ = false;
        bytes_ = {};
        return T{};
    }
    std::string_view bytes_;
    bool good_ = true;
};

std::string frame(std::uint8_t kind, const std::string& payload) {
    std::string out;
    out.reserve(header_size + payload.size());
    put<std::uint8_t>(out, version);
    put<std::uint8_t>(out, kind);
    put<std::uint16_t>(out, 0);
    put<std::uint32_t>(out, static_cast<std::uint32_t>(payload.size()));
    return out += payload;
}

}  // namespace

std::string pack(const Request& request) {
    std::string payload;
    put<std::uint64_t>(payload, request.term);
    put<std::uint16_t>(payload, static_cast<std::uint16_t>(request.id.size()));
    payload += request.id;
    put<std::uint32_t>(payload, static_cast<std::uint32_t>(request.body.size()));
    payload += request.body;
    return frame(static_cast<std::uint8_t>(request.op), payload);
}

std::string pack(const Answer& answer) {
    std::string payload;
    put<std::uint16_t>(payload, answer.status);
    put<std::uint16_t>(payload, answer.retry_after);
    put<std::uint64_t>(payload, answer.term);
    put<std::uint32_t>(payload, static_cast<std::uint32_t>(answer.body.size()));
    payload += answer.body;
    return frame(answer_kind, payload);
}

std::string pack(const CancellationSnapshot& snapshot) {
    std::string list;
    std::uint32_t count = 0;
    bool complete = snapshot.complete;
    for (const auto& id : snapshot.cancelled) {
        if (list.size() + sizeof(std::uint16_t) + id.size() > max_snapshot_bytes) {
            complete = false;
            break;
        }
        put<std::uint16_t>(list, static_cast<std::uint16_t>(id.size()));
        list += id;
        ++count;
    }
    const auto put_time = [](std::string& to, std::chrono::milliseconds time) {
        const auto bounded = std::clamp<std::chrono::milliseconds::rep>(
            time.count(), 0, std::numeric_limits<std::uint32_t>::max());
        put<std::uint32_t>(to, static_cast<std::uint32_t>(bounded));
    };
    std::string out;
    put_time(out, snapshot.age);
    put_time(out, snapshot.history);
    put<std::uint8_t>(out, complete ? 1 : 0);
    put<std::uint32_t>(out, count);
    return out += list;
}

ParsedHeader parse_header(std::string_view bytes) {
    if (bytes.size() != header_size) return {{}, HeaderError::malformed};
    Reader in(bytes);
    if (in.get<std::uint8_t>() != version) return {{}, HeaderError::version};
    ParsedHeader out;
    out.header.kind = in.get<std::uint8_t>();
    const auto reserved = in.get<std::uint16_t>();
    out.header.length = in.get<std::uint32_t>();
    if (reserved != 0 || out.header.length > max_payload_bytes) out.error = HeaderError::malformed;
    return out;
}

std::optional<Request> parse_request(std::uint8_t kind, std::string_view payload) {
    if (kind < static_cast<std::uint8_t>(Op::status) ||
        kind > static_cast<std::uint8_t>(Op::cancelled))
        return std::nullopt;
    Reader in(payload);
    Request out;
    out.op = static_cast<Op>(kind);
    out.term = in.get<std::uint64_t>();
    out.id = in.text(in.get<std::uint16_t>());
    out.body = in.text(in.get<std::uint32_t>());
    if (!in.finished()) return std::nullopt;
    return out;
}

std::optional<Answer> parse_answer(std::uint8_t kind, std::string_view payload) {
    if (kind != answer_kind) return std::nullopt;
    Reader in(payload);
    Answer out;
    out.status = in.get<std::uint16_t>();
    out.retry_after = in.get<std::uint16_t>();
    out.term = in.get<std::uint64_t>();
    out.body = in.text(in.get<std::uint32_t>());
    if (!in.finished()) return std::nullopt;
    return out;
}

std::optional<CancellationSnapshot> parse_cancellation_snapshot(std::string_view body) {
    Reader in(body);
    CancellationSnapshot out;
    out.age = std::chrono::milliseconds(in.get<std::uint32_t>());
    out.history = std::chrono::milliseconds(in.get<std::uint32_t>());
    const auto complete = in.get<std::uint8_t>();
    const auto count = in.get<std::uint32_t>();
    if (complete > 1 || count > body.size() / sizeof(std::uint16_t)) return std::nullopt;
    out.complete = complete == 1;
    for (std::uint32_t i = 0; i < count; ++i)
        out.cancelled.push_back(in.text(in.get<std::uint16_t>()));
    if (!in.finished()) return std::nullopt;
    return out;
}

}  // namespace bendspindle::wire::peer
