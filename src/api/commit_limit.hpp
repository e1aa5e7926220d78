/// The time for which a user request may wait for its record to be committed.
#pragma once

#include <chrono>

namespace bendspindle::api {

/// User requests time out after 5 s; half of that is left for reading the records afterwards.
inline constexpr std::chrono::milliseconds commit_timeout{2500};

}  // namespace bendspindle::api
