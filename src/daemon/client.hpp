/// The client commands of the command line: submit, status and cancel. Called only by `main`; each
/// command makes one request to a controller.
#pragma once

#include <string>

namespace bendspindle::daemon {

/// Each function prints the response as JSON and returns the exit code: 0 if the request was
/// accepted, 1 if it was refused, 3 if no response arrived. Throws `config::SettingsError` if the
/// endpoint or the file is invalid.
int submit_file(const std::string& endpoint, const std::string& file);
int show_status(const std::string& endpoint, const std::string& id);
int cancel_job(const std::string& endpoint, const std::string& id);

}  // namespace bendspindle::daemon
