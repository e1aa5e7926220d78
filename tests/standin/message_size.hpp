// The size of a message as the protocol counts it: as JSON text, although it is sent as CBOR.
#pragma once

#include <cstddef>
#include <string>

#include "wire/cbor.hpp"

namespace bendspindle::standin {

inline std::size_t json_size(const std::string& cbor_body) {
    const auto value = wire::parse_cbor(cbor_body);
    return value ? wire::json_size(*value) : 0;
}

}  // namespace bendspindle::standin
