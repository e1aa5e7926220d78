/// A team of the platform settings, with its quota.
#pragma once

#include <string>

#include "core/model/resources.hpp"

namespace bendspindle::core {

/// Its jobs together never use more than `limit`; what they ask for within `guaranteed` goes first.
struct Team {
    std::string name;
    Resources guaranteed;
    Resources limit;  // 0 in a field: no limit on it
};

}  // namespace bendspindle::core
