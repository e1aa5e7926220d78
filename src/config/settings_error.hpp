/// The exception for invalid settings. The readers of this directory and the command line throw it;
/// only `main` catches it and prints `what()` for the operators.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

namespace bendspindle::config {

/// Invalid settings. `what()` is one line with the file, the field if there is one, and the reason.
class SettingsError : public std::runtime_error {
  public:
    /// Reports a whole file, or a command-line option, as invalid.
    SettingsError(std::string file, std::string reason);
    /// Reports one field as invalid. `field` is its path in the file, such as
    /// `deployment.teams[0].name`, or empty for the document itself.
    SettingsError(std::string file, std::string field, std::string reason);

    [[nodiscard]] const std::string& file() const { return file_; }
    /// Returns nullopt if the error does not concern a single field.
    [[nodiscard]] const std::optional<std::string>& field() const { return field_; }
    [[nodiscard]] const std::string& reason() const { return reason_; }

  private:
    std::string file_;
    std::optional<std::string> field_;
    std::string reason_;
};

}  // namespace bendspindle::config
