/// Periodic exchange of leader announcements and cancellations between a controller and its peers,
/// once per second. A leader also yields its leadership here if agents can reach only its peers.
///
/// `run` occupies a thread of its own. Peers are called without holding any lock.
#pragma once

#include "agents/heartbeat_handler.hpp"
#include "leadership/cancellation_replication.hpp"
#include "leadership/leader_elector.hpp"

namespace bendspindle::daemon {

/// Exchanges announcements with the peers and yields leadership if agents cannot reach this leader.
class Announcements {
  public:
    /// All arguments must outlive this object.
    Announcements(leadership::LeaderElector& elector,
                  leadership::CancellationReplication& replication,
                  agents::HeartbeatHandler& heartbeats);

    /// Exchanges announcements every second; never returns.
    void run();

  private:
    void yield_if_unreachable();

    leadership::LeaderElector& elector_;
    leadership::CancellationReplication& replication_;
    agents::HeartbeatHandler& heartbeats_;
};

}  // namespace bendspindle::daemon
