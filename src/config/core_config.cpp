#include "config/core_config.hpp"

namespace bendspindle::config {

core::Config core_config(const Settings& settings, const OperatorSettings& operator_settings) {
    core::Config config;
    config.name = settings.name;
    config.zones = settings.zones;
    config.teams = settings.teams;
    config.workers = settings.agent_timings;
    config.objectives = settings.objectives;
    config.cycle = operator_settings.cycle;
    config.list_lag = settings.list_lag;
    config.idle_return = operator_settings.idle_return;
    config.least_paid = operator_settings.least_paid;
    config.headroom = operator_settings.headroom;
    config.demand_memory = operator_settings.demand_memory;
    config.fair_share_settings = operator_settings.fair_share_settings;
    return config;
}

}  // namespace bendspindle::config
