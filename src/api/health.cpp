#include "api/health.hpp"

namespace bendspindle::api {

namespace {

// The leader announces itself each second, and the store is called each second.
constexpr std::chrono::milliseconds cut_off_after{2500};
constexpr std::chrono::seconds contact_valid_for{6};

}  // namespace

Health::Health(const state::LeaderState& leader_state, const state::KeyValueStore& store,
               const leadership::Peers& peers)
    : leader_state_(leader_state), store_(store), peers_(peers) {}

bool Health::healthy() const {
    if (!leader_state_.knows_machine_types()) return false;
    const auto now = Clock::now();
    // Guard against users held by a controller that can admit nothing: the leader reaches the store
    // and announces itself, this one does not reach it. In an outage of the store no leader
    // announces itself.
    if (now - store_.last_success() > cut_off_after &&
        now - leader_announced_at_.load() < cut_off_after)
        return false;
    return now - store_.last_success() < contact_valid_for ||
           now - peers_.last_contact() < contact_valid_for;
}

}  // namespace bendspindle::api
