/// Typed access to the fields of a message, used only by the codecs. Each accessor checks that the
/// field exists, has the expected type and is within bounds, and otherwise throws `Malformed` with
/// the name of the field. The codecs catch this exception.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/model/types.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::wire {

/// A message that violates the protocol. `what()` is the error text for the sender: the name of the
/// field on the wire and the reason.
class Malformed : public std::runtime_error {
  public:
    /// Reports the whole message as malformed.
    explicit Malformed(std::string reason);
    /// Reports one field as malformed; `field` is its name on the wire.
    Malformed(std::string field, std::string reason);

    /// Returns the name of the field on the wire; nullopt if the error does not concern a single
    /// field.
    [[nodiscard]] const std::optional<std::string>& field() const { return field_; }
    [[nodiscard]] const std::string& reason() const { return reason_; }

  private:
    std::optional<std::string> field_;
    std::string reason_;
};

/// The names of the values of an enumeration on the wire.
template <typename Enum, std::size_t size>
using NameTable = std::array<std::pair<const char*, Enum>, size>;

/// Reads the fields of one map, which must outlive the reader.
class Fields {
  public:
    explicit Fields(const Value& map);
    explicit Fields(Value&& map) = delete;

    /// Returns whether the field exists; its value may be null.
    bool contains(const char* name) const { return map_->contains(name); }
    /// Returns whether the field exists and is not null.
    bool has(const char* name) const;
    const Value& value(const char* name) const;
    std::string text(const char* name) const;
    /// Returns the field as a finite number from 0 to 1e9.
    double amount(const char* name) const;
    core::Seconds seconds(const char* name) const { return core::Seconds(amount(name)); }
    /// Returns the field as a non-negative integer.
    std::uint64_t count(const char* name) const;
    /// Returns the field as a boolean.
    bool flag(const char* name) const;
    /// Returns the list in the field. Its elements are not checked.
    const Value& list(const char* name) const;
    /// Returns a reader of each map in the list of the field; every element must be a map.
    std::vector<Fields> maps(const char* name) const;
    /// Returns the texts in the list of the field; elements of other types are ignored.
    std::vector<std::string> texts(const char* name) const;

    /// Returns the enumeration value whose name in the table equals the text of the field.
    template <typename Enum, std::size_t size>
    Enum enum_value(const NameTable<Enum, size>& names, const char* field) const {
        const auto found = text(field);
        for (const auto& [name, value] : names)
            if (found == name) return value;
        throw Malformed(field, "has an unknown value");
    }

  private:
    const Value* map_;
};

/// Returns the name of the value on the wire. The table must contain every value that is written.
template <typename Enum, std::size_t size>
const char* name_of(const NameTable<Enum, size>& names, Enum value) {
    for (const auto& [name, candidate] : names)
        if (candidate == value) return name;
    return names[0].first;
}

/// Returns whether the text can name a machine: a part of a key of the key-value store, which takes
/// 200 bytes without spaces, and of a request's path.
[[nodiscard]] bool valid_machine_name(std::string_view name);

/// Parses the body as a map; throws `Malformed` if it is not one.
Value parse_map(std::string_view body);

/// Returns the result of `read`, or nullopt if `read` throws `Malformed`.
template <typename Read>
auto if_well_formed(Read&& read) -> std::optional<decltype(read())> {
    try {
        return read();
    } catch (const Malformed&) {
        return std::nullopt;
    }
}

/// Calls `read` with the fields of the map in the body. Returns its result, or nullopt if the body
/// is malformed.
template <typename Read>
auto parse_fields(std::string_view body, Read&& read) {
    return if_well_formed([&] {
        const auto map = parse_map(body);
        return read(Fields(map));
    });
}

}  // namespace bendspindle::wire
