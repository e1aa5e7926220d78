/// What users expect, as far as planning uses it.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/model/time.hpp"

namespace bendspindle::core {

/// The times within which work is to start.
struct ServiceLevelObjectives {
    std::map<std::string, Seconds> start_within;  // by class
    std::optional<Seconds> guaranteed_start;      // of work within a team's guarantee
};

}  // namespace bendspindle::core
