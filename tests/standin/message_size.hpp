// The size of a message as the protocol counts it: as JSON text, although it is sent as CBOR.
#pragma once

#include <cstddef>
#include <string>

#include "wire/cbor.hpp"

namespace bendspindle::standin {

// For requests, and for responses to workers and users.
constexpr std::size_t message_limit_bytes = 65'536;

inline std::size_t json_size(const std::string& cbor_body) {
    const auto value = wire::parse_cbor(cbor_body);
    return value ? wire::json_size(*value) : 0;
}

}  // namespace bendspindle::standin
