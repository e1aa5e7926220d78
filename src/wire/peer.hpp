/// The frames between controllers: structs packed by hand, big-endian, versioned and checked for
/// length before anything is read. Called by io/peer_link, which carries them, and by `leadership`
/// and the daemon, which fill them in. `parse_*` return nullopt for anything malformed, and never
/// throw.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/http_status.hpp"

namespace bendspindle::wire::peer {

constexpr std::uint8_t version = 1;
constexpr std::size_t header_size = 8;            ///< in bytes
constexpr std::size_t most_payload = 128 * 1024;  ///< in bytes

/// The kind of a request, as it stands in the frame.
enum class Op : std::uint8_t {
    status = 2,
    cancel = 3,
    heartbeat = 4,
    leader_announcement = 5,
    cancellation_snapshot = 6,
    cancelled = 7
};

/// Frame: u8 version, u8 kind, u16 zero, u32 payload length.
struct Header {
    std::uint8_t kind = 0;
    std::uint32_t length = 0;
};
/// `version`: the peer runs a program of another protocol version.
enum class HeaderError : std::uint8_t { none, version, malformed };
struct ParsedHeader {
    Header header;
    HeaderError error = HeaderError::none;
};

/// A user's or agent's request that is forwarded to the leader (`status`, `cancel`, `heartbeat`);
/// or the announcement of the leader that the id names, for this term (`leader_announcement`); or
/// that the leader is about to confirm the cancellation of the job that the id names (`cancelled`);
/// or the question for a `CancellationSnapshot` (`cancellation_snapshot`).
///
/// Packed: u64 sender's term, u16 id length, id, u32 body length, body.
struct Request {
    Op op = Op::status;
    std::uint64_t term = 0;
    std::string id;
    std::string body;
};

/// Packed: u16 status, u16 retry-after seconds, u64 term, u32 body length, body.
struct Answer {
    std::uint16_t status = http_status::service_unavailable;
    std::uint16_t retry_after = 0;  ///< in seconds; 0: none
    std::uint64_t term = 0;
    std::string body;
};

/// The recently cancelled jobs that the sender knows of, in the answer to `cancellation_snapshot`.
/// Status 200: the sender leads; 421: it does not, and knows who leads; 503, without a snapshot:
/// neither.
///
/// Packed: u32 age in ms, u32 memory in ms, u8 complete, u32 number, and so many of: u16 length,
/// id.
struct CancellationSnapshot {
    /// Of the leader: until this long ago nobody else can have confirmed a cancellation.
    std::chrono::milliseconds age{0};
    /// For this long the sender has known the leader and stored what it announced.
    std::chrono::milliseconds memory{0};
    /// Of the leader: all confirmed cancellations that may matter are among these, those of former
    /// terms too. Of others: nothing is left out that they know.
    bool complete = false;
    std::vector<std::string> cancelled;
};

/// A whole frame, header included.
std::string pack(const Request& request);
std::string pack(const Answer& answer);
/// The body of an answer. Leaves out what would not fit into a frame, and is not complete then.
std::string pack(const CancellationSnapshot& snapshot);
ParsedHeader parse_header(std::string_view bytes);
std::optional<Request> parse_request(std::uint8_t kind, std::string_view payload);
std::optional<Answer> parse_answer(std::uint8_t kind, std::string_view payload);
std::optional<CancellationSnapshot> parse_cancellation_snapshot(std::string_view body);

}  // namespace bendspindle::wire::peer
