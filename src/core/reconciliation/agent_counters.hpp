/// Counters of reconciliation since this controller became the leader, for logs and tests.
#pragma once

#include <cstdint>

namespace bendspindle::core {

/// Monotonic counters.
struct AgentCounters {
    std::uint64_t starts = 0;      // start commands
    std::uint64_t lost = 0;        // tasks that disappeared, with or without their machine
    std::uint64_t errors = 0;      // tasks that exited with an error
    std::uint64_t unexpected = 0;  // tasks that ran although their attempt of this term had ended
    std::uint64_t refused_starts = 0;  // starts that were missing from the next task list
};

}  // namespace bendspindle::core
