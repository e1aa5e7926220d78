#include "api/health.hpp"

namespace bendspindle::api {

namespace {

// The leader announces itself every second, and the store is called every second.
constexpr std::chrono::milliseconds partition_timeout{2500};
constexpr std::chrono::seconds contact_timeout{6};

}  // namespace

Health::Health(const state::LeaderState& leader_state, const state::KeyValueStore& store,
               const leadership::Peers& peers)
    : leader_state_(leader_state), store_(store), peers_(peers) {}

bool Health::healthy() const {
    if (!leader_state_.knows_machine_types()) return false;
    const auto now = Clock::now();
    // Guards against sending users to a controller that can admit nothing: the leader reaches the
    // store and announces itself, but this controller does not reach the store. During an outage of
    // the store no leader announces itself.
    if (now - store_.last_success() > partition_timeout &&
        now - leader_announced_at_.load() < partition_timeout)
        return false;
    return now - store_.last_success() < contact_timeout ||
           now - peers_.last_contact() < contact_timeout;
}

}  // namespace bendspindle::api
