/// CBOR encoding and decoding of document trees. All messages to and from users, agents, the cloud
/// and the key-value store use CBOR. Used by the codecs of this directory and by the command line.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "core/model/message_size.hpp"

namespace bendspindle::wire {

using Value = nlohmann::json;

/// The maximum size of a request body. The protocol counts it as JSON text; no body of the
/// protocol's messages is larger as CBOR.
constexpr std::size_t max_request_bytes = core::max_message_bytes;

/// Parses CBOR that `is_valid_cbor` (wire/cbor_validation.hpp) accepts. Returns nullopt for any
/// other body. Never throws, because the body comes from an untrusted sender. Of a name that a map
/// holds twice, the last value counts.
std::optional<Value> parse_cbor(std::string_view body);
[[nodiscard]] std::string to_cbor(const Value& value);
/// Returns the size of the value as JSON text, the form to which the protocol's limits apply.
[[nodiscard]] std::size_t json_size(const Value& value);

}  // namespace bendspindle::wire
