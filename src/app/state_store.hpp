// Calls of the state service, with their outcomes told apart: executed, refused, or unknown.
// `StateStore` is what the rest of the controller uses, `HttpStateStore` the real one; a simulation
// has its own.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "io/http_client.hpp"
#include "wire/state_service.hpp"

namespace bendspindle::app {

enum class Outcome : std::uint8_t {
    ok,
    absent,    // no such key or lease
    conflict,  // a condition did not hold
    refused,   // not executed: too many requests or trouble
    unknown,   // no answer: it may have been executed, or may still be
    invalid,   // the service calls the request malformed
    too_old,   // a watch from a revision that is no longer kept
};

struct Read {
    Outcome outcome = Outcome::unknown;
    wire::Entry entry;
};
struct Listing {
    Outcome outcome = Outcome::unknown;
    std::vector<wire::Entry> entries;
    std::uint64_t revision = 0;  // what a watch goes on from, so that nothing is missed
};
struct Txn {
    Outcome outcome = Outcome::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

class StateStore {
  public:
    using Clock = std::chrono::steady_clock;

    virtual ~StateStore() = default;
    virtual Read get(const std::string& key) = 0;
    virtual Listing list(const std::string& prefix) = 0;
    // Waits for puts under a prefix after a revision.
    virtual Listing watch(const std::string& prefix, std::uint64_t since,
                          std::chrono::milliseconds wait) = 0;
    virtual Txn transact(const std::vector<wire::Condition>& conditions,
                         const std::vector<wire::Operation>& operations) = 0;
    virtual std::optional<std::uint64_t> grant(std::chrono::milliseconds life) = 0;
    virtual Outcome touch(std::uint64_t lease) = 0;
    // Ends a lease at once, and what is attached to it.
    virtual Outcome revoke(std::uint64_t lease) = 0;
    // When the service last executed something for this controller.
    virtual Clock::time_point last_ok() const = 0;
};

class HttpStateStore : public StateStore {
  public:
    explicit HttpStateStore(io::Endpoint endpoint);
    Read get(const std::string& key) override;
    Listing list(const std::string& prefix) override;
    Listing watch(const std::string& prefix, std::uint64_t since,
                  std::chrono::milliseconds wait) override;
    Txn transact(const std::vector<wire::Condition>& conditions,
                 const std::vector<wire::Operation>& operations) override;
    std::optional<std::uint64_t> grant(std::chrono::milliseconds life) override;
    Outcome touch(std::uint64_t lease) override;
    Outcome revoke(std::uint64_t lease) override;
    Clock::time_point last_ok() const override { return last_ok_.load(); }

  private:
    Outcome outcome_of(const std::optional<io::HttpAnswer>& answer);

    io::HttpClient client_;
    std::atomic<Clock::time_point> last_ok_{Clock::time_point{}};
};

}  // namespace bendspindle::app
