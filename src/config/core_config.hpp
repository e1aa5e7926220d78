/// Conversion of the platform settings and the operator settings to the configuration of the core.
#pragma once

#include "config/operator_settings.hpp"
#include "config/platform_settings.hpp"
#include "core/config.hpp"

namespace bendspindle::config {

/// Returns the configuration of the core: teams, zones, timings and objectives of the deployment,
/// and the operator settings.
[[nodiscard]] core::Config core_config(const Settings& settings,
                                       const OperatorSettings& operator_settings);

}  // namespace bendspindle::config
