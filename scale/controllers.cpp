#include "controllers.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <system_error>

namespace bendspindle::scale {

namespace {

using nlohmann::json;

std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

json deployment(const ScaleSettings& settings) {
    json zones = json::array();
    for (const auto& zone : settings.zones) zones.push_back(zone.name);
    json teams = json::array();
    for (const auto& team : settings.teams())
        teams.push_back({{"name", team.name},
                         {"cpus", team.guaranteed.cpus},
                         {"cpus_max", team.limit.cpus},
                         {"gpus", 0.0},
                         {"gpus_max", 0.0}});
    const auto& times = settings.workers.times;
    const auto& services = settings.services;
    return {{"zones", zones},
            {"teams", teams},
            {"objectives",
             {{{"kind", "wait"}, {"class", "urgent"}, {"within_s", 8.2}, {"share", 0.9}}}},
            {"workers",
             {{"report_s", times.heartbeat.count()},
              {"lease_s", times.lease.count()},
              {"gang_wait_s", times.gang_wait.count()},
              {"gang_peer_s", times.gang_peer.count()},
              {"cancel_s", times.cancel.count()}}},
            {"state",
             {{"rps", services.requests_per_s},
              {"write_rps", services.writes_per_s},
              {"value_kb", 32.0},
              {"txn_ops", 48}}},
            {"cloud",
             {{"rps", services.cloud_requests_per_s}, {"list_lag_s", services.list_lag.count()}}},
            {"resources",
             {{"cpu_share", 1.0},
              {"mem_mb", settings.controllers.memory_mb},
              {"max_sockets", settings.controllers.sockets}}}};
}

}  // namespace

Controllers::Controllers(const ScaleSettings& settings, std::string program)
    : settings_(settings), program_(std::move(program)) {
    auto name = (std::filesystem::temp_directory_path() / "bendspindle-scale-XXXXXX").string();
    if (!::mkdtemp(name.data()))
        throw std::system_error(errno, std::generic_category(), "temporary directory");
    directory_ = name;
    processes_.resize(static_cast<std::size_t>(settings.controllers.count));
    for (int i = 0; i < count(); ++i) write_settings(i);
    write_operator_settings();
}

Controllers::~Controllers() {
    for (int i = 0; i < count(); ++i) kill(i);
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void Controllers::write_settings(int number) {
    json siblings = json::array();
    for (int i = 0; i < count(); ++i)
        if (i != number)
            siblings.push_back({{"node_name", controller_name(i)},
                                {"domain", settings_.zones.front().name},
                                {"endpoint", loopback(settings_.peer_port(i))}});
    const json all{{"node_name", controller_name(number)},
                   {"domain", settings_.zones.front().name},
                   {"listen", loopback(settings_.user_port(number))},
                   {"internal_addr", loopback(settings_.peer_port(number))},
                   {"siblings", siblings},
                   {"external",
                    {{"state", loopback(settings_.state_port(number))},
                     {"cloud", loopback(settings_.cloud_port())}}},
                   {"deployment", deployment(settings_)}};
    auto& process = processes_[static_cast<std::size_t>(number)];
    process.file = (directory_ / controller_name(number)).string();
    std::ofstream(process.file) << all.dump();
}

// The agents's size is the run's: idle machines stay.
void Controllers::write_operator_settings() {
    std::ofstream(directory_ / "operator") << "((idle-return-s 100000))\n";
}

void Controllers::start(int number) {
    auto& process = processes_[static_cast<std::size_t>(number)];
    const auto own = (directory_ / "operator").string();
    const auto parent = ::getpid();
    process.pid = ::fork();
    if (process.pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (process.pid > 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    // NOLINTNEXTLINE(concurrency-mt-unsafe): the child of a fork has this thread alone
    ::setenv("LOG_LEVEL", "error", 0);
    ::execl(program_.c_str(), program_.c_str(), "serve", "--config", process.file.c_str(),
            "--operator", own.c_str(), nullptr);
    ::_exit(127);
}

void Controllers::start_all() {
    for (int i = 0; i < count(); ++i) start(i);
}

void Controllers::kill(int number) {
    auto& process = processes_[static_cast<std::size_t>(number)];
    if (process.pid <= 0) return;
    use(number);
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    process.pid = -1;
    process.cpu_before_s += std::exchange(process.cpu_now_s, 0);
}

ProcessUse Controllers::use(int number) {
    auto& process = processes_[static_cast<std::size_t>(number)];
    ProcessUse out;
    if (process.pid > 0) {
        const auto directory = "/proc/" + std::to_string(process.pid);
        std::string text;
        std::getline(std::ifstream(directory + "/stat"), text);
        // After the name in brackets: state and 10 numbers, then the times in user and system mode.
        std::istringstream fields(text.substr(text.rfind(')') + 1));
        std::string skipped;
        for (int i = 0; i < 11; ++i) fields >> skipped;
        double user = 0;
        double system = 0;
        if (fields >> user >> system)
            process.cpu_now_s = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
        std::ifstream status(directory + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:")) out.rss_mb = std::stod(line.substr(6)) / 1024;
            if (line.starts_with("VmHWM:")) out.peak_rss_mb = std::stod(line.substr(6)) / 1024;
            if (line.starts_with("Threads:")) out.threads = std::stoi(line.substr(8));
        }
    }
    out.cpu_s = process.cpu_before_s + process.cpu_now_s;
    return out;
}

std::vector<int> Controllers::ended() {
    std::vector<int> out;
    for (int i = 0; i < count(); ++i) {
        auto& process = processes_[static_cast<std::size_t>(i)];
        if (process.pid <= 0 || ::waitpid(process.pid, nullptr, WNOHANG) == 0) continue;
        process.pid = -1;
        process.cpu_before_s += std::exchange(process.cpu_now_s, 0);
        out.push_back(i);
    }
    return out;
}

}  // namespace bendspindle::scale
