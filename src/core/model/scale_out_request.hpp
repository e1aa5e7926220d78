/// Scale-out requests to the cloud.
#pragma once

#include <cstdint>
#include <string>

namespace bendspindle::core {

/// A request for `count` machines of one pool. `request` is an idempotency key, unique across all
/// leaders.
struct ScaleOutRequest {
    std::string request;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t count = 0;
};

}  // namespace bendspindle::core
