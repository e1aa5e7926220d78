// The size of a message as the protocol counts it: as JSON text, although it is sent as CBOR.
#pragma once

#include <cstddef>
#include <string>

#include "wire/cbor.hpp"

namespace bendspindle::standin {

inline std::size_t json_size(const std::string& cbor_body) {
    const auto value = wire::parse_cbor(cbor_body);
    constexpr int one_line = -1;
    return value ? value->dump(one_line, ' ', false, wire::Value::error_handler_t::replace).size()
                 : 0;
}

}  // namespace bendspindle::standin
