/// Includes all settings headers, for `daemon`. Other directories include only the header that they
/// need.
#pragma once

#include "config/connection_limits.hpp"
#include "config/core_config.hpp"
#include "config/fair_share_settings.hpp"
#include "config/operator_settings.hpp"
#include "config/platform_settings.hpp"
#include "config/settings_error.hpp"
