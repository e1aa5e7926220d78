/// The one exception of settings that cannot be used. The readers of this directory and the command
/// line throw it; `main` alone catches it and prints `what()` as the line that operators see.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

namespace bendspindle::config {

/// `what()` is one line: the file, the field if there is one, and the reason.
class SettingsError : public std::runtime_error {
  public:
    /// The file, or the option of the command line, as a whole is wrong.
    SettingsError(std::string file, std::string reason);
    /// One field is: its path in the file, as in `deployment.teams[0].name`; empty is the document
    /// itself.
    SettingsError(std::string file, std::string field, std::string reason);

    [[nodiscard]] const std::string& file() const { return file_; }
    /// nullopt where no single field is to blame.
    [[nodiscard]] const std::optional<std::string>& field() const { return field_; }
    [[nodiscard]] const std::string& reason() const { return reason_; }

  private:
    std::string file_;
    std::optional<std::string> field_;
    std::string reason_;
};

}  // namespace bendspindle::config
