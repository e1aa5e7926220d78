#include "config/core_config.hpp"

namespace bendspindle::config {

core::Config core_config(const Settings& settings, const OperatorSettings& own) {
    core::Config config;
    config.name = settings.name;
    config.zones = settings.zones;
    config.teams = settings.teams;
    config.workers = settings.workers;
    config.objectives = settings.objectives;
    config.cycle = own.cycle;
    config.list_lag = settings.list_lag;
    config.idle_return = own.idle_return;
    config.least_paid = own.least_paid;
    config.headroom = own.headroom;
    config.demand_memory = own.demand_memory;
    config.fair_share_settings = own.fair_share_settings;
    return config;
}

}  // namespace bendspindle::config
