// The controllers of a scale run: real processes of the service, and what they take of the machine.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

#include "settings.hpp"

namespace bendspindle::scale {

/// What a controller's process has used.
struct ProcessUse {
    double cpu_s = 0;  // over all lives
    double rss_mb = 0;
    double peak_rss_mb = 0;  // of the present life
    int threads = 0;
};

/// Starts them with settings files of their own in a new directory. Ends them, and only them, when
/// it goes out of scope; should this process be killed, the system ends them.
class Controllers {
  public:
    Controllers(const ScaleSettings& settings, std::string program);
    ~Controllers();
    Controllers(const Controllers&) = delete;
    Controllers& operator=(const Controllers&) = delete;

    void start(int number);
    void start_all();
    /// Without a signal that it could handle, as a machine's loss would.
    void kill(int number);
    ProcessUse use(int number);
    /// Which of them have ended by themselves since the last call; they are not begun again.
    std::vector<int> ended();
    int count() const { return static_cast<int>(processes_.size()); }

  private:
    struct Process {
        std::string file;
        pid_t pid = -1;
        double cpu_before_s = 0;  // of former lives
        double cpu_now_s = 0;
    };
    void write_settings(int number);
    void write_operator_settings();

    const ScaleSettings& settings_;
    std::string program_;
    std::filesystem::path directory_;
    std::vector<Process> processes_;
};

}  // namespace bendspindle::scale
