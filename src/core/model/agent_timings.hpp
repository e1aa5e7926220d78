/// Timing parameters of the protocol between the leader and the agents, from the platform settings.
#pragma once

#include "core/model/time.hpp"

namespace bendspindle::core {

/// Timing parameters; all agents of a deployment use the same values.
struct AgentTimings {
    Seconds heartbeat{3};   // interval between heartbeats
    Seconds lease{20};      // an agent stops its tasks after this long without a response
    Seconds gang_wait{50};  // a gang's task exits after waiting this long for the other tasks
    Seconds gang_peer{5};   // the other tasks of a gang exit within this after one ends early
    Seconds cancel{40};     // in which all tasks of a cancelled job must have stopped
};

}  // namespace bendspindle::core
