/// The interface to the consensus-backed key-value store: reads, watches, compare-and-swap
/// transactions and leases, with outcomes that distinguish executed, refused and unknown.
///
/// `HttpKeyValueStore` implements it for production; simulations have their own implementation.
/// Calls block. They may be made from any thread, but not with the leader mutex held.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/key_value_store.hpp"

namespace bendspindle::state {

/// The outcome of a call.
enum class StoreStatus : std::uint8_t {
    ok,
    absent,    // no such key or lease
    conflict,  // a condition did not hold
    refused,   // not executed: too many requests, or the service is unavailable
    unknown,   // no response: the call may have been executed, or may still be executed
    invalid,   // not executed: the service rejected the request as malformed
    too_old,   // a watch from a revision that the service no longer keeps
};

/// The result of reading one key.
struct ReadResult {
    StoreStatus outcome = StoreStatus::unknown;
    wire::Entry entry;
};
/// The result of a listing or a watch.
struct ListResult {
    StoreStatus outcome = StoreStatus::unknown;
    std::vector<wire::Entry> entries;
    std::uint64_t revision = 0;  // a watch from here on misses no change
};
/// The result of a transaction.
struct CasResult {
    StoreStatus outcome = StoreStatus::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;  // keys whose conditions did not hold
};

/// A connection to the key-value store.
class KeyValueStore {
  public:
    using Clock = std::chrono::steady_clock;

    virtual ~KeyValueStore() = default;
    /// Returns the entry of one key, or `absent`.
    [[nodiscard]] virtual ReadResult get(const std::string& key) = 0;
    /// Returns all entries under a prefix.
    [[nodiscard]] virtual ListResult list(const std::string& prefix) = 0;
    /// Waits, for at most `wait`, for puts under a prefix after the revision `since`.
    virtual ListResult watch(const std::string& prefix, std::uint64_t since,
                             std::chrono::milliseconds wait) = 0;
    /// Executes all operations if every condition holds, otherwise none. A condition is a key with
    /// its mod_revision, 0 for no such key.
    virtual CasResult compare_and_swap(const std::vector<wire::Condition>& conditions,
                                       const std::vector<wire::Operation>& operations) = 0;
    /// Returns the new lease, or nothing if it was not granted.
    virtual std::optional<std::uint64_t> grant_lease(std::chrono::milliseconds ttl) = 0;
    virtual StoreStatus keep_alive(std::uint64_t lease) = 0;
    /// Ends a lease at once and deletes the keys attached to it.
    virtual StoreStatus revoke_lease(std::uint64_t lease) = 0;
    /// Returns when the service last executed a call of this controller.
    virtual Clock::time_point last_success() const = 0;
};

}  // namespace bendspindle::state
