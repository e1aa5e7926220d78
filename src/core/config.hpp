/// What the core is given once: teams, times and service-level objectives of the deployment, and
/// the operators' choices. Does not change while a controller lives.
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

/// Defaults are those of the tests; `config` sets what a deployment has.
struct Config {
    std::string name;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    AgentTimings workers;
    ServiceLevelObjectives objectives;
    Seconds cycle{2};  // between placement cycles
    // Idle machines are released after this, when the learned demand does not want them.
    Seconds idle_return{15};
    // A machine that is deleted is paid for this long in any case.
    Seconds least_paid{60};
    // How late the cloud's list usually is; sometimes twice that.
    Seconds list_lag{5};
    // Standard deviations of learned demand that are kept ready beyond its mean.
    double headroom = 1.0;
    // Demand is averaged over about this long.
    Seconds demand_memory{60};
    fair_share::FairShareSettings fair_share_settings;

    /// Null: no such team.
    const Team* team(const std::string& name_of_team) const {
        const auto it = std::find_if(teams.begin(), teams.end(),
                                     [&](const Team& t) { return t.name == name_of_team; });
        return it == teams.end() ? nullptr : &*it;
    }
    /// Its place in `zones`; their number if it is none of them.
    std::size_t zone_index(const std::string& zone) const {
        return static_cast<std::size_t>(std::find(zones.begin(), zones.end(), zone) -
                                        zones.begin());
    }
};

}  // namespace bendspindle::core
