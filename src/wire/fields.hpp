/// Typed reading of a message's fields, shared by the codecs and used by nothing else. Each reader
/// checks that the field is there, has its type and is within bounds, and throws `Malformed` with
/// the field's name otherwise; no exception leaves the codecs.
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

/// A message that breaks the protocol. `what()` is the text that its sender gets: the field's name
/// on the wire and the reason.
class Malformed : public std::runtime_error {
  public:
    /// The message as a whole is wrong.
    explicit Malformed(std::string reason);
    Malformed(std::string field, std::string reason);

    /// Its name on the wire; nullopt where no single field is to blame.
    [[nodiscard]] const std::optional<std::string>& field() const { return field_; }
    [[nodiscard]] const std::string& reason() const { return reason_; }

  private:
    std::optional<std::string> field_;
    std::string reason_;
};

/// The names on the wire for the values of an enumeration.
template <typename Enum, std::size_t size>
using NameTable = std::array<std::pair<const char*, Enum>, size>;

/// The fields of one map, which must outlive the reader.
class Fields {
  public:
    explicit Fields(const Value& map);
    explicit Fields(Value&& map) = delete;

    bool contains(const char* name) const { return map_->contains(name); }
    /// Whether the field is there and not null.
    bool has(const char* name) const;
    const Value& value(const char* name) const;
    std::string text(const char* name) const;
    /// A finite number that is not negative.
    double amount(const char* name) const;
    core::Seconds seconds(const char* name) const { return core::Seconds(amount(name)); }
    /// A whole number from 0.
    std::uint64_t count(const char* name) const;
    /// True or false.
    bool flag(const char* name) const;
    /// A list of anything; what it holds is for the caller to check.
    const Value& list(const char* name) const;
    /// A list that holds nothing but maps.
    std::vector<Fields> maps(const char* name) const;
    /// A list's texts; what is not text in it is passed over.
    std::vector<std::string> texts(const char* name) const;

    /// The value that the field's text names in the table.
    template <typename Enum, std::size_t size>
    Enum named(const NameTable<Enum, size>& names, const char* field) const {
        const auto found = text(field);
        for (const auto& [name, value] : names)
            if (found == name) return value;
        throw Malformed(field, "has an unknown value");
    }

  private:
    const Value* map_;
};

/// The value's name on the wire; the table holds every value that is ever written.
template <typename Enum, std::size_t size>
const char* name_of(const NameTable<Enum, size>& names, Enum value) {
    for (const auto& [name, named] : names)
        if (named == value) return name;
    return names[0].first;
}

/// The body's map; throws `Malformed` if it is anything else.
Value parse_map(std::string_view body);

/// What `read` returns, or nullopt if it meets a malformed field.
template <typename ReadResult>
auto if_well_formed(ReadResult&& read) -> std::optional<decltype(read())> {
    try {
        return read();
    } catch (const Malformed&) {
        return std::nullopt;
    }
}

/// What `read` makes of the fields of the body's map, or nullopt if anything is malformed.
template <typename ReadResult>
auto parse_fields(std::string_view body, ReadResult&& read) {
    return if_well_formed([&] {
        const auto map = parse_map(body);
        return read(Fields(map));
    });
}

}  // namespace bendspindle::wire
