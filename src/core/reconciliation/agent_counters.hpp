// What dispatching has counted since this controller became the leader, for logs and tests.
#pragma once

#include <cstdint>

namespace bendspindle::core {

struct AgentCounters {
    std::uint64_t starts = 0, lost = 0, errors = 0, refused_starts = 0;
};

}  // namespace bendspindle::core
