/// A request to the cloud for more machines.
#pragma once

#include <cstdint>
#include <string>

namespace bendspindle::core {

/// `count` machines of one pool. `request` makes it idempotent: it is unique among all leaders.
struct ScaleOutRequest {
    std::string request;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t count = 0;
};

}  // namespace bendspindle::core
