// The settings file of a scale run: JSON, each field needed, unknown fields refused.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/model/types.hpp"

namespace bendspindle::scale {

using core::Seconds;

/// One line that names what is wrong and where.
class SettingsError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct ControllerSettings {
    int count = 3;
    double memory_mb = 128;  // of each; checked against this machine's memory, but not enforced
    int sockets = 1200;
};

struct TimeSettings {
    Seconds warm_up{20};  // not measured
    Seconds measure{40};
    Seconds window{5};  // figures are taken once in each
    std::uint64_t seed = 1;
};

struct WorkerSettings {
    int count = 100;
    core::Resources size;
    core::AgentTimings times;
    Seconds boot{20};
    double fetch_gb_per_s = 1;
};

struct ZoneSettings {
    std::string name;
    std::string region;
};

struct LoadSettings {
    double jobs_per_s = 1;
    double array_tasks = 10;    // mean size of an array
    double gang_share = 0.1;    // of jobs
    int gang_most = 64;         // sizes are powers of two up to this
    double urgent_share = 0.1;  // of jobs; arrays and gangs of at most `urgent_tasks`
    int urgent_tasks = 4;
    double cancel_share = 0.01;
    Seconds run{20};  // mean run time of a task
    double cpus = 2;
    int images = 20;
    double image_gb = 1;
    int teams = 12;
    double team_limit = 2;  // of an even part of all cores
};

struct ServiceSettings {
    double requests_per_s = 300;
    double writes_per_s = 120;
    double cloud_requests_per_s = 5;
    Seconds list_lag{3};
};

/// How often machines have trouble by themselves, in the whole agents.
struct RateSettings {
    double deaths_per_day = 70;
    double restarts_per_day = 830;
    Seconds restart{25};
    double hangs_per_day = 0;
    Seconds hang{5};
};

struct FaultSettings {
    enum class What { end_leader, lose, cut, hang };
    What what = What::end_leader;
    std::string name;   // as it stands in the file
    std::string place;  // "region", "zone" or "zone/rack"; empty for the leader
    Seconds at{0};      // from the end of the warm-up
    Seconds lasts{0};   // of cuts and hangs; of the leader: until its process is back
};

struct ScaleSettings {
    ControllerSettings controllers;
    int first_port = 19200;
    TimeSettings time;
    WorkerSettings workers;
    std::vector<ZoneSettings> zones;
    int rack_size = 20;
    LoadSettings load;
    ServiceSettings services;
    RateSettings rates;
    std::vector<FaultSettings> faults;
    std::string text;  // the file, for the results

    int user_port(int controller) const { return first_port + controller; }
    int peer_port(int controller) const { return first_port + 20 + controller; }
    int state_port(int controller) const { return first_port + 40 + controller; }
    int cloud_port() const { return first_port + 60; }
    int worker_port() const { return first_port + 61; }
    std::vector<int> ports() const;
    std::vector<core::Team> teams() const;
};

/// What a controller is called.
inline std::string controller_name(int number) {
    return std::string("c").append(std::to_string(number));
}

ScaleSettings load_scale_settings(const std::string& file);
ScaleSettings parse_scale_settings(const std::string& file, const std::string& text);

/// Throws if such a run would hold more than half of the machine's memory.
void check_memory(const ScaleSettings& settings, double machine_mb);
/// Throws if one of its ports is in use.
void check_ports(const ScaleSettings& settings);
/// This machine's memory.
double machine_memory_mb();

}  // namespace bendspindle::scale
