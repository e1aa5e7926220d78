/// Whole files of settings as text.
#pragma once

#include <string>

namespace bendspindle::config {

/// Throws `SettingsError` if the file cannot be read.
[[nodiscard]] std::string read_text_file(const std::string& file);

}  // namespace bendspindle::config
