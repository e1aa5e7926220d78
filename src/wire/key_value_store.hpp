/// Codecs of the calls to the key-value store: reads, watches, compare-and-swap and leases. Used
/// only by `state`. wire/records.hpp defines the content of the values; key_value_store.cpp lists
/// the field names on the wire and the corresponding terms in the code. The parse functions return
/// nullopt for a malformed body.
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
/// Returns the path to read one key.
std::string key(const std::string& key);
/// Returns the path to read one page of keys with the prefix: at most `limit` keys, starting after
/// the key `after`, or with the first one if it is empty.
std::string range(const std::string& prefix, const std::string& after, unsigned limit);
/// Returns the path to wait for at most `wait` until a key with the prefix changes after the
/// revision `since`.
std::string watch(const std::string& prefix, std::uint64_t since, std::chrono::milliseconds wait);
/// Returns the path of a lease.
std::string lease(std::uint64_t lease);
/// Returns the path to keep a lease alive.
std::string keep_alive(std::uint64_t lease);
}  // namespace path

/// A key with its value, as it was read.
struct Entry {
    std::string key;
    Value value;
    std::uint64_t mod_revision = 0;
    std::uint64_t lease = 0;  ///< the lease of the key, 0 if none; only set by `parse_entry`
};
/// A page of a range, or the events of a watch.
struct Entries {
    std::vector<Entry> entries;
    bool more = false;           ///< more pages follow
    std::uint64_t revision = 0;  ///< of the store, at the time of the response
};
/// Parses the response to the read of one key.
std::optional<Entry> parse_entry(std::string_view body);
/// Parses one page of a range.
std::optional<Entries> parse_entries(std::string_view body);
/// Parses the response to a watch. Returns the puts and omits deletions.
std::optional<Entries> parse_events(std::string_view body);

/// A condition that holds if the key was last modified at this revision; for revision 0, if the key
/// does not exist.
struct Condition {
    std::string key;
    std::uint64_t mod_revision = 0;
};
/// An operation that writes a key, attached to a lease if one is given, or deletes it.
struct Operation {
    std::string key;
    std::optional<Value> put;  ///< the new value; nullopt deletes the key
    std::optional<std::uint64_t> lease;
};
/// The result of a compare-and-swap. Nothing was written if `failed` is not empty.
struct CasResponse {
    std::uint64_t revision = 0;
    std::vector<std::string> failed;  ///< keys whose conditions did not hold
};
/// Returns the body of a compare-and-swap: all operations are executed if all conditions hold,
/// otherwise none of them.
std::string compare_and_swap_body(const std::vector<Condition>& conditions,
                                  const std::vector<Operation>& operations);
std::optional<CasResponse> parse_compare_and_swap(std::string_view body);

/// Returns the body of a request for a lease that expires after `time_to_live` unless it is
/// renewed.
std::string lease_body(std::chrono::milliseconds time_to_live);
/// Returns the id of the granted lease.
std::optional<std::uint64_t> parse_lease(std::string_view body);

}  // namespace bendspindle::wire
