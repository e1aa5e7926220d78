/// A machine type of the cloud's catalog.
#pragma once

#include <string>
#include <vector>

#include "core/model/resources.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// What such machines have, cost and take to boot, and the zones they are to be had in.
struct MachineType {
    std::string name;
    Resources size;
    double cache_gb = 0;
    double fetch_gb_per_s = 1;
    double price = 0;
    double spot_price = 0;
    Seconds boot{60};
    std::vector<std::string> zones;
};

}  // namespace bendspindle::core
