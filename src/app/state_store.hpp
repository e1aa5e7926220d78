// Calls of the state service, with their outcomes told apart: executed, refused, or unknown.
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

    explicit StateStore(io::Endpoint endpoint);
    Read get(const std::string& key);
    Listing list(const std::string& prefix);
    // Waits for puts under a prefix after a revision.
    Listing watch(const std::string& prefix, std::uint64_t since, std::chrono::milliseconds wait);
    Txn transact(const std::vector<wire::Condition>& conditions,
                 const std::vector<wire::Operation>& operations);
    std::optional<std::uint64_t> grant(std::chrono::milliseconds life);
    Outcome touch(std::uint64_t lease);
    // Ends a lease at once, and what is attached to it.
    Outcome revoke(std::uint64_t lease);
    // When the service last executed something for this controller.
    Clock::time_point last_ok() const { return last_ok_.load(); }

  private:
    Outcome outcome_of(const std::optional<io::HttpAnswer>& answer);

    io::HttpClient client_;
    std::atomic<Clock::time_point> last_ok_{Clock::time_point{}};
};

}  // namespace bendspindle::app
