/// How long a user's request may wait for its record to be committed.
#pragma once

#include <chrono>

namespace bendspindle::api {

/// Users give up after 5 s; half of it is left for reading the records afterwards.
inline constexpr std::chrono::milliseconds commit_limit{2500};

}  // namespace bendspindle::api
