// Three real processes of the program on loopback, with settings of their own: started, killed,
// asked to stop, and made to stand still.
#pragma once

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "wire/cbor.hpp"

namespace bendspindle::standin {

using wire::Value;

struct Setting {
    double lease_s = 30.0;
    double cancel_s = 30.0;
    // The state service has a port for each controller, so that it can refuse one.
    bool own_state_ports = false;
    // The first neither reaches the others nor is reached by them.
    bool first_apart = false;
    int terminal_states_cached = 4096;
};

// The first port of a test process; it takes this many.
inline constexpr int ports_taken = 30;
inline int port_base() {
    return 20000 + static_cast<int>(::getpid() % 400) * ports_taken;
}

class Controllers {
  public:
    explicit Controllers(int base, const Setting& setting = {}) : base_(base) {
        directory_ = std::filesystem::temp_directory_path() /
                     ("bendspindle-processes-" + std::to_string(::getpid()));
        std::filesystem::create_directories(directory_);
        // Not between fork and exec: other threads may hold what it needs.
        ::setenv("LOG_LEVEL", "error", 1);
        for (int i = 0; i < 3; ++i) {
            Value peers = Value::array();
            for (int k = 0; k < 3; ++k)
                if (k != i)
                    peers.push_back(
                        {{"node_name", "c" + std::to_string(k)},
                         {"domain", "a"},
                         {"endpoint",
                          address(setting.first_apart && i * k == 0 ? nobody : 10 + k)}});
            const Value settings{
                {"node_name", "c" + std::to_string(i)},
                {"domain", "a"},
                {"listen", address(i)},
                {"internal_addr", address(10 + i)},
                {"siblings", peers},
                {"external",
                 {{"state", address(setting.own_state_ports ? 22 + i : 20)},
                  {"cloud", address(21)}}},
                {"deployment",
                 {{"zones", {"a"}},
                  {"teams", {{{"name", "t"}, {"cpus_max", 64.0}}}},
                  {"objectives", Value::array()},
                  {"workers",
                   {{"report_s", 1.0},
                    {"lease_s", setting.lease_s},
                    {"gang_wait_s", 30.0},
                    {"gang_peer_s", 4.0},
                    {"cancel_s", setting.cancel_s}}},
                  {"state",
                   {{"rps", 500.0}, {"write_rps", 300.0}, {"value_kb", 32.0}, {"txn_ops", 12}}},
                  {"cloud", {{"rps", 20.0}, {"list_lag_s", 1.0}}},
                  {"resources", {{"cpu_share", 1.0}, {"mem_mb", 500.0}, {"max_sockets", 500}}}}}};
            std::ofstream(directory_ / ("c" + std::to_string(i))) << settings.dump();
            pids_.push_back(-1);
        }
        std::ofstream own(directory_ / "operator");
        own << "((finals-cached " << setting.terminal_states_cached << "))";
    }
    ~Controllers() {
        for (int i = 0; i < 3; ++i) kill(i);
        kill_alone();
        std::filesystem::remove_all(directory_);
    }
    std::vector<int> ports() const { return {base_, base_ + 1, base_ + 2}; }
    void start(int i) {
        pids_[static_cast<std::size_t>(i)] = run(program_of(i), "c" + std::to_string(i));
    }
    // Starts a controller of another deployment, whose store and cloud are at this port.
    void start_alone(int services_port) {
        std::ifstream in(directory_ / "c0");
        auto settings = Value::parse(in);
        const auto services = "127.0.0.1:" + std::to_string(services_port);
        settings["node_name"] = "alone";
        settings["listen"] = address(3);
        settings["internal_addr"] = address(13);
        settings["siblings"] = Value::array();
        settings["external"] = {{"state", services}, {"cloud", services}};
        std::ofstream(directory_ / "alone") << settings.dump();
        alone_ = run(PROGRAM, "alone");
    }
    bool kill_alone() { return kill_if_running(alone_); }
    pid_t pid(int i) const { return pids_[static_cast<std::size_t>(i)]; }
    // True if it was still running: a controller never ends by itself.
    bool kill(int i) { return kill_if_running(pids_[static_cast<std::size_t>(i)]); }
    // Stands still until it goes on.
    void stand_still(int i) { ::kill(pids_[static_cast<std::size_t>(i)], SIGSTOP); }
    void go_on(int i) { ::kill(pids_[static_cast<std::size_t>(i)], SIGCONT); }
    // How it ended after SIGTERM: its exit code, or -1 if it did not end by itself in time.
    int terminate(int i) {
        auto& pid = pids_[static_cast<std::size_t>(i)];
        ::kill(pid, SIGTERM);
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        int status = 0;
        while (::waitpid(pid, &status, WNOHANG) == 0) {
            if (std::chrono::steady_clock::now() > until) return -1;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::string address(int offset) const { return "127.0.0.1:" + std::to_string(base_ + offset); }

  private:
    pid_t run(const char* program, const std::string& settings) const {
        const auto file = (directory_ / settings).string();
        const auto own = (directory_ / "operator").string();
        const auto pid = ::fork();
        if (pid == 0) {
            ::execl(program, program, "serve", "--config", file.c_str(), "--operator", own.c_str(),
                    nullptr);
            ::_exit(127);
        }
        return pid;
    }
    static bool kill_if_running(pid_t& pid) {
        if (pid <= 0) return true;
        const bool running = ::waitpid(pid, nullptr, WNOHANG) == 0;
        if (running) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        pid = -1;
        return running;
    }

    static constexpr int nobody = 29;  // no one listens there

    // A roll-out has two versions side by side: BENDSPINDLE_FIRST_PROGRAM names the program of
    // another version, which the first controller runs.
    static const char* program_of(int i) {
        const char* other = std::getenv("BENDSPINDLE_FIRST_PROGRAM");
        return i == 0 && other ? other : PROGRAM;
    }

    int base_;
    std::filesystem::path directory_;
    std::vector<pid_t> pids_;
    pid_t alone_ = -1;
};

}  // namespace bendspindle::standin
