#include "wire/cbor.hpp"

namespace bendspindle::wire {

namespace {

constexpr int deepest = 12;

// Builds the document, but gives up on nesting that no message of ours has: the parser recurses,
// and 64 KiB of opening brackets would run a small thread stack over. A claimed length beyond any
// body is refused here too: the base class throws on one, through every `parse`.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Value> {
  public:
    using Base = nlohmann::detail::json_sax_dom_parser<Value>;
    explicit BoundedBuilder(Value& root) : Base(root, false) {}
    bool start_object(std::size_t size) {
        return plausible(size) && ++depth_ <= deepest && Base::start_object(size);
    }
    bool end_object() { return --depth_, Base::end_object(); }
    bool start_array(std::size_t size) {
        return plausible(size) && ++depth_ <= deepest && Base::start_array(size);
    }
    bool end_array() { return --depth_, Base::end_array(); }
    bool binary(Value::binary_t&) { return false; }

  private:
    static bool plausible(std::size_t size) {
        constexpr auto indefinite = static_cast<std::size_t>(-1);
        constexpr std::size_t longest_answer = 4 * 1024 * 1024;
        return size == indefinite || size <= longest_answer;
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

}  // namespace bendspindle::wire
