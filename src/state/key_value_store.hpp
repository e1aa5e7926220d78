// Calls of the state service, with their outcomes told apart: executed, refused, or unknown.
// `KeyValueStore` is what the rest of the controller uses, `HttpKeyValueStore` the real one; a
// simulation has its own.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "io/http_client.hpp"
#include "wire/key_value_store.hpp"

namespace bendspindle::state {

enum class StoreStatus : std::uint8_t {
    ok,
    absent,    // no such key or lease
    conflict,  // a condition did not hold
    refused,   // not executed: too many requests or trouble
    unknown,   // no answer: it may have been executed, or may still be
    invalid,   // the service calls the request malformed
    too_old,   // a watch from a revision that is no longer kept
};

struct ReadResult {
    StoreStatus outcome = StoreStatus::unknown;
    wire::Entry entry;
};
struct ListResult {
    StoreStatus outcome = StoreStatus::unknown;
    std::vector<wire::Entry> entries;
    std::uint64_t revision = 0;  // what a watch goes on from, so that nothing is missed
};
struct CasResult {
    StoreStatus outcome = StoreStatus::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

class KeyValueStore {
  public:
    using Clock = std::chrono::steady_clock;

    virtual ~KeyValueStore() = default;
    virtual ReadResult get(const std::string& key) = 0;
    virtual ListResult list(const std::string& prefix) = 0;
    // Waits for puts under a prefix after a revision.
    virtual ListResult watch(const std::string& prefix, std::uint64_t since,
                             std::chrono::milliseconds wait) = 0;
    virtual CasResult compare_and_swap(const std::vector<wire::Condition>& conditions,
                                       const std::vector<wire::Operation>& operations) = 0;
    virtual std::optional<std::uint64_t> grant_lease(std::chrono::milliseconds life) = 0;
    virtual StoreStatus keep_alive(std::uint64_t lease) = 0;
    // Ends a lease at once, and what is attached to it.
    virtual StoreStatus revoke_lease(std::uint64_t lease) = 0;
    // When the service last executed something for this controller.
    virtual Clock::time_point last_success() const = 0;
};

class HttpKeyValueStore : public KeyValueStore {
  public:
    explicit HttpKeyValueStore(io::Endpoint endpoint);
    ReadResult get(const std::string& key) override;
    ListResult list(const std::string& prefix) override;
    ListResult watch(const std::string& prefix, std::uint64_t since,
                     std::chrono::milliseconds wait) override;
    CasResult compare_and_swap(const std::vector<wire::Condition>& conditions,
                               const std::vector<wire::Operation>& operations) override;
    std::optional<std::uint64_t> grant_lease(std::chrono::milliseconds life) override;
    StoreStatus keep_alive(std::uint64_t lease) override;
    StoreStatus revoke_lease(std::uint64_t lease) override;
    Clock::time_point last_success() const override { return last_success_.load(); }

  private:
    StoreStatus status_of(const std::optional<io::HttpAnswer>& answer);

    io::HttpClient client_;
    std::atomic<Clock::time_point> last_success_{Clock::time_point{}};
};

}  // namespace bendspindle::state
