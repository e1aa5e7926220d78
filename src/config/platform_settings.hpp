/// The platform settings, a JSON file with the identity of this controller, its peers, the services
/// it uses and the limits it must observe. `main` reads them once; they do not change afterwards.
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

/// Request and size limits of the key-value store.
struct StateLimits {
    double requests_per_s = 100;
    double writes_per_s = 50;
    std::size_t value_kb = 32;  ///< maximum size of a value, in KiB
    std::size_t txn_ops = 12;   ///< maximum number of operations in one compare-and-swap
};

/// The platform settings that a controller uses.
struct Settings {
    std::string name;
    std::string zone;
    io::Endpoint listen;    ///< HTTP server for users and agents
    io::Endpoint internal;  ///< server for peers
    std::vector<PeerSettings> peers;
    io::Endpoint cloud;
    io::Endpoint state;
    std::vector<std::string> zones;
    std::vector<core::Team> teams;
    core::AgentTimings agent_timings;
    core::ServiceLevelObjectives objectives;
    StateLimits state_limits;
    double cloud_requests_per_s = 1;
    core::Seconds list_lag{5};  ///< maximum staleness of the cloud's machine list
    std::size_t max_sockets = 1000;
    double memory_mb = 100;
};

/// Reads the platform settings. Ignores unknown fields; throws `SettingsError` if the file is
/// invalid.
Settings load_settings(const std::string& file);

}  // namespace bendspindle::config
