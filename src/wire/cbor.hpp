/// CBOR as a document tree: the encoding of all messages to and from users, agents, the cloud and
/// the key-value store. Called by the codecs of this directory and by the command line.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bendspindle::wire {

using Value = nlohmann::json;

/// The largest request body that is read, in bytes.
constexpr std::size_t most_body = 64 * 1024;

/// Parses CBOR with a bound on nesting; nullopt for anything malformed or cut off. Never throws:
/// the body comes from a stranger.
std::optional<Value> parse_cbor(std::string_view body);
[[nodiscard]] std::string to_cbor(const Value& value);

}  // namespace bendspindle::wire
