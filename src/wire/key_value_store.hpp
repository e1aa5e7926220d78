/// Calls to the key-value store: reading keys, watching them, compare-and-swap and leases. Called
/// by `state` alone; what the values hold is in wire/records.hpp, and the map from the wire's
/// fields to the code's terms in key_value_store.cpp. Readers return nullopt for a malformed body.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/cbor.hpp"

namespace bendspindle::wire {

namespace path {
inline constexpr const char* compare_and_swap = "/txn";
inline constexpr const char* leases = "/leases";
/// Where one key is read.
std::string key(const std::string& key);
/// A page of at most `limit` keys with the prefix, those after the key `after` (empty: all).
std::string range(const std::string& prefix, const std::string& after, unsigned limit);
/// Waits for at most `wait` for a change of such a key after the revision `since`.
std::string watch(const std::string& prefix, std::uint64_t since, std::chrono::milliseconds wait);
/// A lease itself, and where it is kept alive.
std::string lease(std::uint64_t lease);
std::string keep_alive(std::uint64_t lease);
}  // namespace path

/// A key as it was read.
struct Entry {
    std::string key;
    Value value;
    std::uint64_t mod_revision = 0;
    std::uint64_t lease = 0;  ///< the key is attached to it, if it was read by itself; 0: to none
};
/// A page of a range, or the events of a watch.
struct Entries {
    std::vector<Entry> entries;
    bool more = false;           ///< pages follow
    std::uint64_t revision = 0;  ///< of the store, when it answered
};
/// The answer to the reading of one key.
std::optional<Entry> parse_entry(std::string_view body);
/// A page of a range.
std::optional<Entries> parse_entries(std::string_view body);
/// The puts of a watch's answer; what was deleted is left out.
std::optional<Entries> parse_events(std::string_view body);

/// Holds if the key was last modified at this revision; 0: if there is no such key.
struct Condition {
    std::string key;
    std::uint64_t mod_revision = 0;
};
/// Writes a key, attached to a lease if one is given, or deletes it.
struct Operation {
    std::string key;
    std::optional<Value> put;  ///< nullopt: delete
    std::optional<std::uint64_t> lease;
};
/// Nothing was written if `failed` names a key.
struct CasResponse {
    std::uint64_t revision = 0;
    std::vector<std::string> failed;  ///< keys whose conditions did not hold
};
/// All operations are executed if all conditions hold, or none is.
std::string compare_and_swap_body(const std::vector<Condition>& conditions,
                                  const std::vector<Operation>& operations);
std::optional<CasResponse> parse_compare_and_swap(std::string_view body);

/// Asks for a lease that expires after `life` unless it is renewed.
std::string lease_body(std::chrono::milliseconds life);
/// The lease's id.
std::optional<std::uint64_t> parse_lease(std::string_view body);

}  // namespace bendspindle::wire
