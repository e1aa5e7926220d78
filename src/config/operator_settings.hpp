/// The operator settings, which supplement the platform settings; deploy/operator.sexp documents
/// each of them. `main` reads them once; they do not change afterwards.
#pragma once

#include <cstddef>
#include <string>

#include "core/model/types.hpp"
#include "fair_share/minimum_share.hpp"

namespace bendspindle::config {

/// The operator settings. The defaults equal the values in deploy/operator.sexp
/// (tests/settings_test.cpp checks this).
struct OperatorSettings {
    std::string log_level;  ///< overridden by LOG_LEVEL; info if both are empty
    core::Seconds cycle{2};
    core::Seconds leader_lease{4};
    core::Seconds idle_return{15};
    core::Seconds least_paid{60};
    core::Seconds demand_memory{60};
    double headroom = 1.0;
    std::size_t max_connection_threads = 160;  ///< each serves one connection
    std::size_t stack_kb = 256;
    std::size_t max_cached_terminal_states = 4096;
    fair_share::FairShareSettings
        fair_share_settings;  ///< read from a separate file, see deploy/admission.sexp
};

/// Reads the operator settings; returns the defaults for an empty file name. Throws `SettingsError`
/// if the file is invalid or contains an unknown name.
OperatorSettings load_operator_settings(const std::string& file);

}  // namespace bendspindle::config
