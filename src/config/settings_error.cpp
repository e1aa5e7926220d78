#include "config/settings_error.hpp"

#include <utility>

namespace bendspindle::config {

// The messages of settings errors are composed only here; tests/settings_golden_test.cpp checks
// each of them.
SettingsError::SettingsError(std::string file, std::string reason)
    : std::runtime_error(file + ": " + reason),
      file_(std::move(file)),
      reason_(std::move(reason)) {}

SettingsError::SettingsError(std::string file, std::string field, std::string reason)
    : std::runtime_error(file + ": " + field + " " + reason),
      file_(std::move(file)),
      field_(std::move(field)),
      reason_(std::move(reason)) {}

}  // namespace bendspindle::config
