/// The frames that controllers exchange: hand-packed big-endian structs with a version and a length
/// that are checked before the payload is read. io/peer_link transports the frames; `leadership`
/// and the daemon create and interpret them. The parse functions return nullopt for a malformed
/// frame and never throw.
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
constexpr std::size_t header_size = 8;  ///< in bytes
constexpr std::size_t max_payload_bytes = 128 * 1024;

/// The kind of a request, with its value in the frame.
enum class Op : std::uint8_t {
    status = 2,
    cancel = 3,
    heartbeat = 4,
    leader_announcement = 5,
    cancellation_snapshot = 6,
    cancelled = 7
};

/// The header of a frame. Packed: u8 version, u8 kind, u16 zero, u32 payload length.
struct Header {
    std::uint8_t kind = 0;
    std::uint32_t length = 0;
};
/// `version` means that the peer uses a different version of the protocol.
enum class HeaderError : std::uint8_t { none, version, malformed };
/// A header, valid only if `error` is `none`.
struct ParsedHeader {
    Header header;
    HeaderError error = HeaderError::none;
};

/// A request to a peer. The operation is one of:
/// - `status`, `cancel`, `heartbeat`: a request of a user or an agent, forwarded to the leader.
/// - `leader_announcement`: announces the controller named by `id` as the leader of `term`.
/// - `cancelled`: the leader is about to confirm the cancellation of the job with this `id`.
/// - `cancellation_snapshot`: asks for a `CancellationSnapshot`.
///
/// Packed: u64 sender's term, u16 id length, id, u32 body length, body.
struct Request {
    Op op = Op::status;
    std::uint64_t term = 0;
    std::string id;
    std::string body;
};

/// The answer to a request.
///
/// Packed: u16 status, u16 retry-after seconds, u64 term, u32 body length, body.
struct Answer {
    std::uint16_t status = http_status::service_unavailable;
    std::uint16_t retry_after = 0;  ///< in seconds; 0 if there is none
    std::uint64_t term = 0;
    std::string body;
};

/// The recently cancelled jobs that the sender knows of, in the answer to `cancellation_snapshot`.
/// The status of the answer is 200 if the sender is the leader, 421 if it is not but knows the
/// leader, and 503, without a snapshot, otherwise.
///
/// Packed: u32 age in ms, u32 history in ms, u8 complete, u32 count, and `count` times: u16 id
/// length, id.
struct CancellationSnapshot {
    /// From a leader: how long ago it was last certain to be the only leader. No other controller
    /// can have confirmed a cancellation before that time.
    std::chrono::milliseconds age{0};
    /// The time for which the sender has known the leader and stored the cancellations that the
    /// leader announced.
    std::chrono::milliseconds history{0};
    /// From a leader: `cancelled` contains all confirmed cancellations that may still be relevant,
    /// including those of earlier terms. From other controllers: `cancelled` contains all
    /// cancellations that they know.
    bool complete = false;
    std::vector<std::string> cancelled;
};

/// Returns a complete frame, including the header.
std::string pack(const Request& request);
/// Returns a complete frame, including the header.
std::string pack(const Answer& answer);
/// Returns the body of an answer. Omits jobs that would not fit into a frame; the packed snapshot
/// is then marked as not complete.
std::string pack(const CancellationSnapshot& snapshot);
ParsedHeader parse_header(std::string_view bytes);
std::optional<Request> parse_request(std::uint8_t kind, std::string_view payload);
std::optional<Answer> parse_answer(std::uint8_t kind, std::string_view payload);
std::optional<CancellationSnapshot> parse_cancellation_snapshot(std::string_view body);

}  // namespace bendspindle::wire::peer
