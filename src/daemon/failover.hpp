/// The transitions of a controller when it is elected leader and when it is deposed.
///
/// The elector calls this class on its own thread, which must not be blocked because it renews the
/// lease. Each election therefore starts a new thread that loads the records; this thread ends once
/// the records are loaded or the term is over.
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

/// Loads the state of the leader after an election and removes it when leadership is lost.
class Failover {
  public:
    /// All arguments must outlive this object.
    Failover(const config::Settings& settings, const config::OperatorSettings& operator_settings,
             state::KeyValueStore& store, state::LeaderState& leader_state,
             leadership::LeaderElector& elector, leadership::CancellationReplication& replication,
             agents::HeartbeatHandler& heartbeats);

    /// Starts to load the records for this term in the background and returns immediately.
    void on_elected(std::uint64_t term, std::uint64_t leader_key_revision);
    /// Passes the cancelled jobs to the replication and removes the core controller.
    void on_deposed();

  private:
    void load(std::uint64_t term, std::uint64_t leader_key_revision,
              state::FailoverProgress progress);
    [[nodiscard]] bool leads_under(std::uint64_t term) const;

    const config::Settings& settings_;
    const config::OperatorSettings& operator_settings_;
    state::KeyValueStore& store_;
    state::LeaderState& leader_state_;
    leadership::LeaderElector& elector_;
    leadership::CancellationReplication& replication_;
    agents::HeartbeatHandler& heartbeats_;
};

}  // namespace bendspindle::daemon
