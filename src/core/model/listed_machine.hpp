/// Machines as listed by the cloud or recorded in the key-value store.
#pragma once

#include <cstdint>
#include <string>

#include "core/model/time.hpp"

namespace bendspindle::core {

/// State of a machine in the cloud. A `failed` machine has stopped and is to be deleted.
enum class MachineStage : std::uint8_t { booting, running, failed };

/// An entry of the cloud's machine list, or a machine record of the key-value store.
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
