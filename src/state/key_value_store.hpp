/// The consensus-backed key-value store as the rest of the controller uses it: reads, watches,
/// compare-and-swap transactions and leases, with outcomes that tell executed, refused and unknown
/// apart.
///
/// `HttpKeyValueStore` is the real one, a simulation has its own. Calls block; they are made from
/// any thread, never under the leader mutex.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/key_value_store.hpp"

namespace bendspindle::state {

/// How a call ended.
enum class StoreStatus : std::uint8_t {
    ok,
    absent,    // no such key or lease
    conflict,  // a condition did not hold
    refused,   // not executed: too many requests, or the service is unavailable
    unknown,   // no answer: it may have been executed, or may still be
    invalid,   // not executed: the service calls the request malformed
    too_old,   // a watch from a revision that is no longer kept
};

/// Of one key.
struct ReadResult {
    StoreStatus outcome = StoreStatus::unknown;
    wire::Entry entry;
};
/// Of a listing or a watch.
struct ListResult {
    StoreStatus outcome = StoreStatus::unknown;
    std::vector<wire::Entry> entries;
    std::uint64_t revision = 0;  // where a watch goes on, so that nothing is missed
};
/// Of a transaction.
struct CasResult {
    StoreStatus outcome = StoreStatus::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;  // keys whose conditions did not hold
};

/// Implemented by the real store and by a simulation.
class KeyValueStore {
  public:
    using Clock = std::chrono::steady_clock;

    virtual ~KeyValueStore() = default;
    /// One entry, or `absent`.
    [[nodiscard]] virtual ReadResult get(const std::string& key) = 0;
    /// All entries under a prefix.
    [[nodiscard]] virtual ListResult list(const std::string& prefix) = 0;
    /// Waits for puts under a prefix after a revision.
    virtual ListResult watch(const std::string& prefix, std::uint64_t since,
                             std::chrono::milliseconds wait) = 0;
    /// All operations, or none: each condition is a key with its mod_revision, 0 for no such key.
    virtual CasResult compare_and_swap(const std::vector<wire::Condition>& conditions,
                                       const std::vector<wire::Operation>& operations) = 0;
    /// The new lease, if it was granted.
    virtual std::optional<std::uint64_t> grant_lease(std::chrono::milliseconds life) = 0;
    virtual StoreStatus keep_alive(std::uint64_t lease) = 0;
    /// Ends a lease at once, and what is attached to it.
    virtual StoreStatus revoke_lease(std::uint64_t lease) = 0;
    /// When the service last executed something for this controller.
    virtual Clock::time_point last_success() const = 0;
};

}  // namespace bendspindle::state
