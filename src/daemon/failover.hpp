/// What a controller does when it is elected leader and when it is deposed.
///
/// Called by the elector on the elector's thread, which must not be held up: it renews the lease.
/// Loading the records therefore has a thread of its own, one for each time of being elected; it
/// ends by itself once the records are loaded or the term is over.
#pragma once

#include <cstdint>
#include <memory>

#include "agents/heartbeat_handler.hpp"
#include "config/settings.hpp"
#include "leadership/cancellation_replication.hpp"
#include "leadership/leader_elector.hpp"
#include "state/failover_progress.hpp"
#include "state/key_value_store.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::daemon {

/// Turns the elector's events into a loaded core, and back into none.
class Failover {
  public:
    /// All of these outlive it.
    Failover(const config::Settings& settings, const config::OperatorSettings& own,
             state::KeyValueStore& store, state::LeaderState& leader_state,
             leadership::LeaderElector& elector, leadership::CancellationReplication& replication,
             agents::HeartbeatHandler& heartbeats);

    /// Begins to load the records for this term; returns at once.
    void on_elected(std::uint64_t term, std::uint64_t leader_key_revision);
    /// Hands what was cancelled over to the replication and drops the core.
    void on_deposed();

  private:
    void load(std::uint64_t term, std::uint64_t leader_key_revision,
              state::FailoverProgress progress);
    [[nodiscard]] bool leads_under(std::uint64_t term) const;

    const config::Settings& settings_;
    const config::OperatorSettings& own_;
    state::KeyValueStore& store_;
    state::LeaderState& leader_state_;
    leadership::LeaderElector& elector_;
    leadership::CancellationReplication& replication_;
    agents::HeartbeatHandler& heartbeats_;
};

}  // namespace bendspindle::daemon
