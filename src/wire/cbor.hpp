// CBOR as a document tree: the encoding of all messages to and from users, workers, the cloud and
// the state service.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bendspindle::wire {

using Value = nlohmann::json;

// The largest request body that is read.
constexpr std::size_t most_body = 64 * 1024;

// Parses CBOR with a bound on nesting; nullopt for anything malformed or cut off.
std::optional<Value> parse_cbor(std::string_view body);
std::string to_cbor(const Value& value);

}  // namespace bendspindle::wire
