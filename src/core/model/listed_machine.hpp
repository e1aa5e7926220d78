/// Machines as others know them.
#pragma once

#include <cstdint>
#include <string>

#include "core/model/time.hpp"

namespace bendspindle::core {

/// `failed`: it has stopped, and is deleted.
enum class MachineStage : std::uint8_t { booting, running, failed };

/// A machine as the cloud lists it, or as its record in the key-value store names it.
struct ListedMachine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    MachineStage stage = MachineStage::booting;
    Seconds age{0};
};

}  // namespace bendspindle::core
