// The client verbs of the command line: submit, status, cancel.
#pragma once

#include <string>

namespace bendspindle::daemon {

// Each prints the answer as JSON and returns the exit code: 0 taken, 1 refused, 3 no answer.
int submit_file(const std::string& endpoint, const std::string& file);
int show_status(const std::string& endpoint, const std::string& id);
int cancel_job(const std::string& endpoint, const std::string& id);

}  // namespace bendspindle::daemon
