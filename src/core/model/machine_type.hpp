/// Machine types of the cloud's catalog.
#pragma once

#include <string>
#include <vector>

#include "core/model/resources.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// A machine type: its resources, prices and boot time, and the zones in which it is offered.
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
