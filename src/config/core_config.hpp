/// What the core gets of both files of settings.
#pragma once

#include "config/operator_settings.hpp"
#include "config/platform_settings.hpp"
#include "core/config.hpp"

namespace bendspindle::config {

/// The deployment's teams, zones, timings and objectives, with the operators' choices.
[[nodiscard]] core::Config core_config(const Settings& settings, const OperatorSettings& own);

}  // namespace bendspindle::config
