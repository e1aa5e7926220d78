/// The key-value store over HTTP. Thread-safe: concurrent calls use separate connections.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "io/http_client.hpp"
#include "state/key_value_store.hpp"

namespace bendspindle::state {

/// A client for one endpoint of the store, which also records the time of its last success.
class HttpKeyValueStore : public KeyValueStore {
  public:
    explicit HttpKeyValueStore(io::Endpoint endpoint);
    ReadResult get(const std::string& key) override;
    ListResult list(const std::string& prefix) override;
    ListResult watch(const std::string& prefix, std::uint64_t since,
                     std::chrono::milliseconds wait) override;
    CasResult compare_and_swap(const std::vector<wire::Condition>& conditions,
                               const std::vector<wire::Operation>& operations) override;
    std::optional<std::uint64_t> grant_lease(std::chrono::milliseconds ttl) override;
    StoreStatus keep_alive(std::uint64_t lease) override;
    StoreStatus revoke_lease(std::uint64_t lease) override;
    Clock::time_point last_success() const override { return last_success_.load(); }

  private:
    StoreStatus status_of(const std::optional<io::HttpResponse>& answer);

    io::HttpClient client_;
    std::atomic<Clock::time_point> last_success_{Clock::time_point{}};
};

}  // namespace bendspindle::state
