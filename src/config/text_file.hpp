/// Reading of settings files as text.
#pragma once

#include <string>

namespace bendspindle::config {

/// Returns the content of the file; throws `SettingsError` if the file cannot be read.
[[nodiscard]] std::string read_text_file(const std::string& file);

}  // namespace bendspindle::config
