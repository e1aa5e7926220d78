// Plain data shared by all parts of the core. No clock is read here: time is always passed in.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bendspindle::core {

// A point on the controller's own steady clock. The core compares such points, it never asks for
// one.
using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Seconds = std::chrono::duration<double>;

inline TimePoint later(TimePoint t, Seconds by) {
    return t + std::chrono::duration_cast<TimePoint::duration>(by);
}
inline Seconds between(TimePoint from, TimePoint to) {
    return Seconds(to - from);
}

struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;

    Resources& operator+=(const Resources& o) {
        cpus += o.cpus;
        gpus += o.gpus;
        memory_gb += o.memory_gb;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus;
        gpus -= o.gpus;
        memory_gb -= o.memory_gb;
        return *this;
    }
    // Amounts are decimal numbers; sums of them may be off in the last digits.
    bool holds(const Resources& need) const {
        constexpr double slack = 1e-6;
        return need.cpus <= cpus + slack && need.gpus <= gpus + slack &&
               need.memory_gb <= memory_gb + slack;
    }
};

inline Resources operator+(Resources a, const Resources& b) {
    return a += b;
}
inline Resources operator-(Resources a, const Resources& b) {
    return a -= b;
}
inline Resources operator*(Resources a, double n) {
    return {a.cpus * n, a.gpus * n, a.memory_gb * n};
}

enum class Kind : std::uint8_t { array, gang, service };
enum class Priority : std::uint8_t { low, normal, high, production };

// What a user asked for. Times are the owner's own estimates.
struct JobSpec {
    std::string id;
    std::string job_class;
    std::string team;
    Kind kind = Kind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources need;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool one_zone = false;
    bool spread = false;
    bool spot = false;
    Seconds estimate{0};
    Seconds checkpoint{0};
    Seconds save_time{0};
    std::optional<Seconds> deadline;

    // Whether its tasks save their progress; what is stopped otherwise has worked in vain.
    bool saves() const { return checkpoint > Seconds{0}; }
};

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

struct Team {
    std::string name;
    Resources guaranteed;
    Resources limit;  // 0 in a field: no limit on it
};

// What users expect of a class: the settings' aims, as far as planning uses them.
struct ServiceLevelObjectives {
    std::map<std::string, Seconds> start_within;  // by class
    std::optional<Seconds> guaranteed_start;      // work within a team's guarantee
};

struct AgentTimings {
    Seconds heartbeat{3};
    Seconds lease{20};
    Seconds gang_wait{50};
    Seconds gang_peer{5};
    Seconds cancel{40};
};

// Where a task stands on its machine, as its worker reports it.
enum class TaskState : std::uint8_t { fetching, waiting, running, saving, exited };
enum class ExitCause : std::uint8_t {
    none,
    done,
    stopped,
    peers,
    alone,
    error,
    no_room,
    busy,
    unknown
};

struct ReportedTask {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;

    bool operator==(const ReportedTask&) const = default;
};

struct Heartbeat {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t fencing_token = 0;
    std::optional<Seconds> notice;
    std::vector<ReportedTask> tasks;
};

struct TaskCommand {
    enum class Verb : std::uint8_t { start, stop, acknowledge };
    Verb verb = Verb::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    Seconds grace{0};
    bool operator==(const TaskCommand&) const = default;
};

enum class MachineStage : std::uint8_t { booting, running, failed };

struct ListedMachine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    MachineStage stage = MachineStage::booting;
    Seconds age{0};
};

struct ScaleOutRequest {
    std::string request;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t count = 0;
};

}  // namespace bendspindle::core
