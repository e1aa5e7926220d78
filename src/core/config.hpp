/// Configuration of the core: teams, timings and service-level objectives of the deployment, and
/// operator settings. Constant for the lifetime of a controller.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "core/model/agent_timings.hpp"
#include "core/model/service_level_objectives.hpp"
#include "core/model/team.hpp"
#include "core/model/time.hpp"
#include "fair_share/minimum_share.hpp"

namespace bendspindle::core {

/// The defaults are those of the tests; the module `config` sets the values of a deployment.
struct Config {
    std::string name;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    AgentTimings workers;
    ServiceLevelObjectives objectives;
    Seconds cycle{2};  // interval between placement cycles
    // Idle time after which a machine is released unless the demand forecast needs it.
    Seconds idle_return{15};
    // Minimum time for which a machine is billed, even if it is deleted earlier.
    Seconds least_paid{60};
    // Typical delay of the cloud's machine list; occasionally twice as long.
    Seconds list_lag{5};
    // Standard deviations of forecast demand to keep ready above its mean.
    double headroom = 1.0;
    // Approximate time over which demand is averaged.
    Seconds demand_memory{60};
    fair_share::FairShareSettings fair_share_settings;

    /// Returns null if there is no such team.
    const Team* team(const std::string& name_of_team) const {
        const auto it = std::find_if(teams.begin(), teams.end(),
                                     [&](const Team& t) { return t.name == name_of_team; });
        return it == teams.end() ? nullptr : &*it;
    }
    /// Returns the index of the zone in `zones`, or the number of zones if it is unknown.
    std::size_t zone_index(const std::string& zone) const {
        return static_cast<std::size_t>(std::find(zones.begin(), zones.end(), zone) -
                                        zones.begin());
    }
};

}  // namespace bendspindle::core
