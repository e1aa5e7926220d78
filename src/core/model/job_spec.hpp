/// The specification of a job, as submitted by its user.
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

/// A job specification. Run, checkpoint and save times are estimates by the job's owner.
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
    std::optional<std::vector<std::string>> types;  // allowed machine types; nullopt: all
    std::optional<std::string> zone;                // the only allowed zone; nullopt: all zones
    bool one_zone = false;                          // all tasks must run in the same zone
    bool spread = false;              // at most half of the tasks, rounded up, may run in one zone
    bool spot = false;                // spot machines are allowed
    Seconds estimate{0};              // estimated run time of a task
    Seconds checkpoint_interval{0};   // 0: tasks do not save checkpoints
    Seconds save_time{0};             // time that a task needs to save a checkpoint when stopped
    std::optional<Seconds> deadline;  // counted from acceptance

    /// Returns whether the job's tasks save checkpoints. A task that does not loses all of its work
    /// when it is stopped.
    [[nodiscard]] bool saves_checkpoints() const { return checkpoint_interval > Seconds{0}; }
};

}  // namespace bendspindle::core
