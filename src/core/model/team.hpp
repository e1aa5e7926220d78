/// Teams and their quotas, from the platform settings.
#pragma once

#include <string>

#include "core/model/resources.hpp"

namespace bendspindle::core {

/// A team and its quota. The team's jobs together never use more than `limit`; jobs whose requests
/// stay within `guaranteed` are scheduled before jobs beyond it.
struct Team {
    std::string name;
    Resources guaranteed;
    Resources limit;  // 0 in a field: that resource is not limited
};

}  // namespace bendspindle::core
