#include "wire/cbor.hpp"

namespace bendspindle::wire {

namespace {

constexpr int max_depth = 12;

// Builds the document, but rejects nesting deeper than that of any message of the protocol: the
// parser recurses, and 64 KiB of opening brackets would overflow a small thread stack. Also rejects
// a declared length that exceeds any body: for such a length the base class throws, even if
// exceptions are disabled.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Value> {
  public:
    using Base = nlohmann::detail::json_sax_dom_parser<Value>;
    explicit BoundedBuilder(Value& root) : Base(root, false) {}
    bool start_object(std::size_t size) {
        return is_plausible(size) && ++depth_ <= max_depth && Base::start_object(size);
    }
    bool end_object() { return --depth_, Base::end_object(); }
    bool start_array(std::size_t size) {
        return is_plausible(size) && ++depth_ <= max_depth && Base::start_array(size);
    }
    bool end_array() { return --depth_, Base::end_array(); }
    bool binary(Value::binary_t&) { return false; }

  private:
    static bool is_plausible(std::size_t size) {
        constexpr auto indefinite = static_cast<std::size_t>(-1);
        constexpr std::size_t max_response_bytes = 4 * 1024 * 1024;
        return size == indefinite || size <= max_response_bytes;
    }
    int depth_ = 0;
};

}  // namespace

std::optional<Value> parse_cbor(std::string_view body) {
    if (body.empty()) return std::nullopt;
    Value out;
    BoundedBuilder builder(out);
    if (!Value::sax_parse(body.begin(), body.end(), &builder, Value::input_format_t::cbor))
        return std::nullopt;
    return out;
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
