/// Checks CBOR from another process before it is parsed. The parser of the library recurses for
/// each nested string of indefinite length and does not check that text is UTF-8, so `parse_cbor`
/// calls this check first.
#pragma once

#include <string_view>

namespace bendspindle::wire {

/// The deepest nesting of maps and lists in any message of the protocol, with room for extensions.
constexpr int max_cbor_depth = 12;

/// Returns whether the bytes are one complete CBOR value of the kinds that the protocol uses: maps
/// with text keys, lists, text in UTF-8, numbers, booleans and null, nested at most
/// `max_cbor_depth` deep. Does not recurse, and takes time proportional to the number of bytes.
[[nodiscard]] bool is_valid_cbor(std::string_view bytes);

/// Returns whether the text is UTF-8.
[[nodiscard]] bool is_utf8(std::string_view text);

}  // namespace bendspindle::wire
