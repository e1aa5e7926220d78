/// Service level objectives that scheduling and autoscaling take into account.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/model/time.hpp"

namespace bendspindle::core {

/// Target times from acceptance to start.
struct ServiceLevelObjectives {
    std::map<std::string, Seconds> start_within;  // by job class
    std::optional<Seconds> guaranteed_start;      // for jobs within their team's guarantee
};

}  // namespace bendspindle::core
