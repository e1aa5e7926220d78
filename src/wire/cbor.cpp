#include "wire/cbor.hpp"

#include "wire/cbor_validation.hpp"

namespace bendspindle::wire {

std::optional<Value> parse_cbor(std::string_view body) {
    if (!is_valid_cbor(body)) return std::nullopt;
    constexpr bool strict = true;
    constexpr bool allow_exceptions = false;
    auto value = Value::from_cbor(body.begin(), body.end(), strict, allow_exceptions);
    if (value.is_discarded()) return std::nullopt;
    return value;
}

std::string to_cbor(const Value& value) {
    std::string out;
    Value::to_cbor(value, out);
    return out;
}

std::size_t json_size(const Value& value) {
    constexpr int one_line = -1;
    constexpr bool ascii_only = false;
    return value.dump(one_line, ' ', ascii_only, Value::error_handler_t::replace).size();
}

}  // namespace bendspindle::wire
