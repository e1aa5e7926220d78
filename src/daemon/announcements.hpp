/// What a controller does each second besides its requests: it exchanges announcements and
/// cancellations with its peers, and as leader gives way once agents reach its peers only.
///
/// `run` has a thread of its own; calls to peers are made without any lock.
#pragma once

#include "agents/heartbeat_handler.hpp"
#include "leadership/cancellation_replication.hpp"
#include "leadership/leader_elector.hpp"

namespace bendspindle::daemon {

/// The rounds of one controller with its peers.
class Announcements {
  public:
    /// All of these outlive it.
    Announcements(leadership::LeaderElector& elector,
                  leadership::CancellationReplication& replication,
                  agents::HeartbeatHandler& heartbeats);

    /// Runs until the process ends.
    void run();

  private:
    void yield_if_unreachable();

    leadership::LeaderElector& elector_;
    leadership::CancellationReplication& replication_;
    agents::HeartbeatHandler& heartbeats_;
};

}  // namespace bendspindle::daemon
