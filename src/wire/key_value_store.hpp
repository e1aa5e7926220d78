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
std::string key(const std::string& key);
std::string range(const std::string& prefix, const std::string& after, unsigned limit);
std::string watch(const std::string& prefix, std::uint64_t since, std::chrono::milliseconds wait);
std::string lease(std::uint64_t lease);
std::string keep_alive(std::uint64_t lease);
}  // namespace path

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
std::optional<Entry> parse_entry(std::string_view body);
std::optional<Entries> parse_entries(std::string_view body);
/// The puts of a watch's answer; what was deleted is left out.
std::optional<Entries> parse_events(std::string_view body);

/// Holds if the key was last modified at this revision; 0: if there is no such key.
struct Condition {
    std::string key;
    std::uint64_t mod_revision = 0;
};
struct Operation {
    std::string key;
    std::optional<Value> put;  ///< nullopt: delete
    std::optional<std::uint64_t> lease;
};
struct CasResponse {
    std::uint64_t revision = 0;
    std::vector<std::string> failed;  ///< keys whose conditions did not hold
};
std::string compare_and_swap_body(const std::vector<Condition>& conditions,
                                  const std::vector<Operation>& operations);
std::optional<CasResponse> parse_compare_and_swap(std::string_view body);

std::string lease_body(std::chrono::milliseconds life);
/// The lease's id.
std::optional<std::uint64_t> parse_lease(std::string_view body);

}  // namespace bendspindle::wire
