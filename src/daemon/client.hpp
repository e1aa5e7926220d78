/// The client verbs of the command line: submit, status, cancel. Called by `main` alone, with one
/// call to a controller each.
#pragma once

#include <string>

namespace bendspindle::daemon {

/// Each prints the answer as JSON and returns the exit code: 0 accepted, 1 refused, 3 no answer.
/// Throws `config::SettingsError` for an endpoint or a file that cannot be used.
int submit_file(const std::string& endpoint, const std::string& file);
int show_status(const std::string& endpoint, const std::string& id);
int cancel_job(const std::string& endpoint, const std::string& id);

}  // namespace bendspindle::daemon
