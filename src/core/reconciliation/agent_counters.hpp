/// What reconciliation has counted since this controller became the leader, for logs and tests.
#pragma once

#include <cstdint>

namespace bendspindle::core {

/// They only grow.
struct AgentCounters {
    std::uint64_t starts = 0;          // commanded
    std::uint64_t lost = 0;            // tasks that were gone, with or without their machine
    std::uint64_t errors = 0;          // tasks that exited with an error
    std::uint64_t refused_starts = 0;  // starts that did not show in the next task list
};

}  // namespace bendspindle::core
