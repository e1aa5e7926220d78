/// A job as its user asked for it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/resources.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

enum class Kind : std::uint8_t { array, gang, service };
enum class Priority : std::uint8_t { low, normal, high, production };

/// What a user asked for. Times are the owner's own estimates.
struct JobSpec {
    std::string id;
    std::string job_class;
    std::string team;
    Kind kind = Kind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources need;
    std::string image;  // empty: none
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;  // machine types allowed; none: all
    std::optional<std::string> zone;                // the only zone allowed
    bool one_zone = false;                          // all tasks in the same zone
    bool spread = false;                            // at most half of the tasks in one zone
    bool spot = false;                              // spot machines allowed
    Seconds estimate{0};                            // run time of a task
    Seconds checkpoint{0};                          // between checkpoints; 0: it does not save
    Seconds save_time{0};                           // for a checkpoint when it is stopped
    std::optional<Seconds> deadline;                // after acceptance

    /// Whether its tasks save their progress; what is stopped otherwise has worked in vain.
    [[nodiscard]] bool saves() const { return checkpoint > Seconds{0}; }
};

}  // namespace bendspindle::core
