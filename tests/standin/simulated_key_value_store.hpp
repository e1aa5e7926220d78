// The state service in simulated time: keys with mod_revisions, leases, transactions, and its
// troubles. An outage for all, after which leases have their full time again; refusing one
// controller; slow answers; transactions carried out at once with the answer lost, or seconds
// later.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "standin/timeline.hpp"
#include "state/key_value_store.hpp"

namespace bendspindle::standin {

class SimulatedService {
  public:
    SimulatedService(Timeline& timeline, unsigned seed) : timeline_(timeline), random_(seed) {}

    state::ReadResult get(const std::string& key);
    state::ListResult list(const std::string& prefix);
    state::CasResult compare_and_swap(const std::vector<wire::Condition>& conditions,
                                      const std::vector<wire::Operation>& operations);
    std::optional<std::uint64_t> grant_lease(std::chrono::milliseconds life);
    state::StoreStatus keep_alive(std::uint64_t lease);
    state::StoreStatus revoke_lease(std::uint64_t lease);

    // Troubles.
    void outage(bool down);
    bool down() const { return down_; }
    std::set<std::string> refused;  // controllers
    double slow_share = 0;          // of the requests, take `slow_times` as long
    double slow_times = 100;
    double late_share = 0;      // of the transactions get no answer
    double late_at_once = 0.5;  // of these are carried out at once
    double below_one() { return random_() / 4294967296.0; }

  private:
    struct Item {
        wire::Value value;
        std::uint64_t mod_revision = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        std::chrono::milliseconds life{0};
        Timeline::Time ends{};
    };
    void expire();
    void end(std::uint64_t lease);

    Timeline& timeline_;
    std::mt19937 random_;
    bool down_ = false;
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 0;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
};

// One controller's way to it.
class SimulatedKeyValueStore : public state::KeyValueStore {
  public:
    enum class Way : std::uint8_t { open, refused, held };
    // `way`: of this controller, now.
    SimulatedKeyValueStore(Timeline& timeline, SimulatedService& service, std::string controller,
                           std::function<Way()> way)
        : timeline_(timeline),
          service_(service),
          controller_(std::move(controller)),
          way_(std::move(way)) {}

    state::ReadResult get(const std::string& key) override;
    state::ListResult list(const std::string& prefix) override;
    state::ListResult watch(const std::string&, std::uint64_t, std::chrono::milliseconds) override {
        return {};
    }
    state::CasResult compare_and_swap(const std::vector<wire::Condition>& conditions,
                                      const std::vector<wire::Operation>& operations) override;
    std::optional<std::uint64_t> grant_lease(std::chrono::milliseconds life) override;
    state::StoreStatus keep_alive(std::uint64_t lease) override;
    state::StoreStatus revoke_lease(std::uint64_t lease) override;
    Clock::time_point last_success() const override { return last_success_; }

  private:
    // What `execute` returned when it reached the service; none: no answer. `refused`: instead.
    template <typename Answer>
    std::optional<Answer> ask(std::function<Answer()> execute, Answer refused, bool writes);
    bool answered(state::StoreStatus outcome);

    Timeline& timeline_;
    SimulatedService& service_;
    const std::string controller_;
    const std::function<Way()> way_;
    Clock::time_point last_success_{};
};

}  // namespace bendspindle::standin
