// The platform's JSON settings and the operators' own S-expressions.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "core/controller.hpp"
#include "io/http_client.hpp"

namespace bendspindle::config {

// One line that names the file and the field.
class SettingsError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct PeerSettings {
    std::string name;
    std::string zone;
    io::Endpoint endpoint;
};

struct StateLimits {
    double requests_per_s = 100;
    double writes_per_s = 50;
    std::size_t value_kb = 32;
    std::size_t txn_ops = 12;
};

struct Settings {
    std::string name;
    std::string zone;
    io::Endpoint listen;
    io::Endpoint internal;
    std::vector<PeerSettings> peers;
    io::Endpoint cloud;
    io::Endpoint state;
    std::vector<std::string> zones;
    std::vector<core::Team> teams;
    core::AgentTimings workers;
    core::ServiceLevelObjectives objectives;
    StateLimits state_limits;
    double cloud_requests_per_s = 1;
    core::Seconds list_lag{5};
    std::size_t most_sockets = 1000;
    double memory_mb = 100;
};

// What operators may set beyond the platform's file; deploy/operator.sexp explains each.
struct OperatorSettings {
    std::string log_level;  // empty: LOG_LEVEL, else info
    core::Seconds cycle{2};
    core::Seconds lease{4};
    core::Seconds idle_return{15};
    core::Seconds least_paid{60};
    core::Seconds demand_memory{60};
    double headroom = 1.0;
    std::size_t threads = 160;
    std::size_t stack_kb = 256;
    std::size_t terminal_states_cached = 4096;
    fair_share::FloorSettings floors;  // of a file of its own: deploy/admission.sexp
};

Settings load_settings(const std::string& file);
OperatorSettings load_operator_settings(const std::string& file);
// Floors and weights; without a file there are no floors. Teams are those of the platform's
// settings.
fair_share::FloorSettings load_admission(const std::string& file, const Settings& settings);
// Connections served at once, a thread each: what operators allow, the sockets and the memory of
// the platform's settings permit.
std::size_t most_connections(const Settings& settings, const OperatorSettings& own);
// How many more may wait for one of `served` to end.
std::size_t most_waiting(const Settings& settings, std::size_t served);
core::Config core_config(const Settings& settings, const OperatorSettings& own);

}  // namespace bendspindle::config
