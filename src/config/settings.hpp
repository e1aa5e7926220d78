/// All settings of a controller and their error: for the wiring in `daemon`. Other directories
/// include the one header that they need.
#pragma once

#include "config/connection_limits.hpp"
#include "config/core_config.hpp"
#include "config/fair_share_settings.hpp"
#include "config/operator_settings.hpp"
#include "config/platform_settings.hpp"
#include "config/settings_error.hpp"
