#include "wire/fields.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bendspindle::wire {

namespace {

constexpr double max_amount = 1e9;
constexpr std::size_t max_text_length = 200;

[[noreturn]] void reject(const char* field, const char* reason) {
    throw Malformed(field, reason);
}

}  // namespace

Malformed::Malformed(std::string reason) : std::runtime_error(reason), reason_(std::move(reason)) {}

Malformed::Malformed(std::string field, std::string reason)
    : std::runtime_error(field + " " + reason),
      field_(std::move(field)),
      reason_(std::move(reason)) {}

Fields::Fields(const Value& map) : map_(&map) {
    if (!map.is_object()) throw Malformed("not a map");
}

bool Fields::has(const char* name) const {
    const auto it = map_->find(name);
    return it != map_->end() && !it->is_null();
}

const Value& Fields::value(const char* name) const {
    const auto it = map_->find(name);
    if (it == map_->end()) reject(name, "is missing");
    return *it;
}

std::string Fields::text(const char* name) const {
    const auto& field = value(name);
    if (!field.is_string()) reject(name, "is not text");
    const auto& text = field.get_ref<const std::string&>();
    if (text.size() > max_text_length) reject(name, "is too long");
    return text;
}

double Fields::amount(const char* name) const {
    const auto& field = value(name);
    if (!field.is_number()) reject(name, "is not a number");
    const double number = field.get<double>();
    if (!std::isfinite(number) || number < 0 || number > max_amount)
        reject(name, "is out of range");
    return number;
}

std::uint64_t Fields::count(const char* name) const {
    const auto& field = value(name);
    if (field.is_number_unsigned()) return field.get<std::uint64_t>();
    if (field.is_number_integer() && field.get<std::int64_t>() >= 0)
        return static_cast<std::uint64_t>(field.get<std::int64_t>());
    reject(name, "is not a whole number");
}

bool Fields::flag(const char* name) const {
    const auto& field = value(name);
    if (!field.is_boolean()) reject(name, "is not true or false");
    return field.get<bool>();
}

const Value& Fields::list(const char* name) const {
    const auto& field = value(name);
    if (!field.is_array()) reject(name, "is not a list");
    return field;
}

std::vector<Fields> Fields::maps(const char* name) const {
    std::vector<Fields> out;
    for (const auto& element : list(name)) {
        if (!element.is_object()) reject(name, "holds what is not a map");
        out.emplace_back(element);
    }
    return out;
}

std::vector<std::string> Fields::texts(const char* name) const {
    std::vector<std::string> out;
    for (const auto& element : list(name))
        if (element.is_string()) out.push_back(element.get<std::string>());
    return out;
}

bool valid_machine_name(std::string_view name) {
    constexpr std::size_t max_length = 128;
    return !name.empty() && name.size() <= max_length &&
           std::all_of(name.begin(), name.end(),
                       [](char c) { return c > ' ' && c <= '~' && c != '/' && c != '&'; });
}

Value parse_map(std::string_view body) {
    auto parsed = parse_cbor(body);
    if (!parsed) throw Malformed("the body is not CBOR");
    if (!parsed->is_object()) throw Malformed("the body is not a map");
    return std::move(*parsed);
}

}  // namespace bendspindle::wire
