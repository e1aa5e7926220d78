/// The platform's settings: the JSON file that says who this controller is, its peers, its services
/// and the limits that it must keep. Read once by `main` and constant from then on.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/config.hpp"
#include "io/http_client.hpp"

namespace bendspindle::config {

/// Another controller of the same deployment.
struct PeerSettings {
    std::string name;
    std::string zone;
    io::Endpoint endpoint;
};

/// What the key-value store permits.
struct StateLimits {
    double requests_per_s = 100;
    double writes_per_s = 50;
    std::size_t value_kb = 32;  ///< the largest value
    std::size_t txn_ops = 12;   ///< operations in one compare-and-swap
};

/// Everything of the platform's file that a controller uses.
struct Settings {
    std::string name;
    std::string zone;
    io::Endpoint listen;    ///< for users and agents
    io::Endpoint internal;  ///< for peers
    std::vector<PeerSettings> peers;
    io::Endpoint cloud;
    io::Endpoint state;
    std::vector<std::string> zones;
    std::vector<core::Team> teams;
    core::AgentTimings workers;
    core::ServiceLevelObjectives objectives;
    StateLimits state_limits;
    double cloud_requests_per_s = 1;
    core::Seconds list_lag{5};  ///< how far the cloud's machine list may be behind
    std::size_t most_sockets = 1000;
    double memory_mb = 100;
};

/// Throws `SettingsError`; fields that are not known are passed over.
Settings load_settings(const std::string& file);

}  // namespace bendspindle::config
