/// What operators may set beyond the platform's file; deploy/operator.sexp explains each. Read once
/// by `main` and constant from then on.
#pragma once

#include <cstddef>
#include <string>

#include "core/model/types.hpp"
#include "fair_share/minimum_share.hpp"

namespace bendspindle::config {

/// The defaults are those of the shipped file (tests/settings_test.cpp).
struct OperatorSettings {
    std::string log_level;  ///< empty: LOG_LEVEL, else info
    core::Seconds cycle{2};
    core::Seconds lease{4};
    core::Seconds idle_return{15};
    core::Seconds least_paid{60};
    core::Seconds demand_memory{60};
    double headroom = 1.0;
    std::size_t threads = 160;  ///< for connections
    std::size_t stack_kb = 256;
    std::size_t terminal_states_cached = 4096;
    fair_share::FairShareSettings
        fair_share_settings;  ///< from a file of its own: deploy/admission.sexp
};

/// Without a file (its name is empty) the defaults. Throws `SettingsError`, also for a name that
/// is not known.
OperatorSettings load_operator_settings(const std::string& file);

}  // namespace bendspindle::config
