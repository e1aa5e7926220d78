#include "config/settings_error.hpp"

#include <utility>

namespace bendspindle::config {

// The text of a settings error is put together here and nowhere else; every line of it is pinned
// by tests/settings_golden_test.cpp.
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
