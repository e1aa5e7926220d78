/// The times that leader and agents have agreed on: settings of the platform.
#pragma once

#include "core/model/time.hpp"

namespace bendspindle::core {

/// All of them are the same for each agent of a deployment.
struct AgentTimings {
    Seconds heartbeat{3};  // between heartbeats
    Seconds lease{20};     // without a response for as long, an agent stops its tasks
    Seconds gang_wait{50};
    Seconds gang_peer{5};
    Seconds cancel{40};  // in which a cancelled job's tasks must be gone
};

}  // namespace bendspindle::core
