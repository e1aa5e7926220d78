// The command line: `serve` runs a controller, `check` validates the settings files, and the other
// subcommands are clients of a controller.
#include <malloc.h>
#include <pthread.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "config/settings.hpp"
#include "daemon/client.hpp"
#include "daemon/service.hpp"
#include "daemon/stop_signal.hpp"
#include "io/crash_report.hpp"

namespace {

using namespace bendspindle;

// Exit code for invalid settings and wrong usage.
constexpr int exit_bad_settings = 2;

void set_up_logging(const config::OperatorSettings& operator_settings) {
    spdlog::set_default_logger(spdlog::stderr_logger_mt("bendspindle"));
    spdlog::set_pattern("%H:%M:%S.%e %l %v");
    std::string level = operator_settings.log_level;
    // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread has been started
    if (const char* value = std::getenv("LOG_LEVEL"); value && *value) level = value;
    spdlog::set_level(level == "error"   ? spdlog::level::err
                      : level == "debug" ? spdlog::level::debug
                                         : spdlog::level::info);
    spdlog::flush_on(spdlog::level::trace);
}

// Sets the default stack size of threads and returns whether a thread can be started with it.
bool can_start_thread(std::size_t stack_bytes) {
    pthread_attr_t attributes;
    ::pthread_attr_init(&attributes);
    ::pthread_attr_setstacksize(&attributes, stack_bytes);
    ::pthread_setattr_default_np(&attributes);
    ::pthread_attr_destroy(&attributes);
    try {
        std::thread([] {}).join();
    } catch (const std::system_error&) {
        return false;
    }
    return true;
}

// Limits the memory of a process with many threads: small stacks and few allocator arenas.
void limit_thread_memory(const config::OperatorSettings& operator_settings) {
    ::mallopt(M_ARENA_MAX, 2);  // NOLINT(concurrency-mt-unsafe): no other thread has been started
    // Doubles the stack size until a thread can be started: a stack also holds the thread-local
    // storage, which a thread sanitizer makes larger than a small stack. Without this, no thread
    // could be started and the process would exit immediately.
    constexpr std::size_t max_doublings = 6;
    std::size_t stack_bytes = operator_settings.stack_kb * 1024;
    for (std::size_t i = 0; i < max_doublings && !can_start_thread(stack_bytes); ++i)
        stack_bytes *= 2;
}

int serve(const std::string& config, const std::string& operator_file,
          const std::string& admission_file) {
    auto settings = config::load_settings(config);
    auto operator_settings = config::load_operator_settings(operator_file);
    operator_settings.fair_share_settings =
        config::load_fair_share_settings(admission_file, settings);
    limit_thread_memory(operator_settings);
    set_up_logging(operator_settings);
    io::install_crash_report();
    daemon::install_stop_signal_handlers();
    daemon::Service service(std::move(settings), std::move(operator_settings));
    return service.run() ? 0 : 1;
}

int run(int argc, char** argv) {
    CLI::App cli{"bendspindle, a cluster scheduler"};
    cli.set_version_flag("--version", BENDSPINDLE_VERSION);
    cli.require_subcommand(1);
    std::string config;
    std::string operator_file;
    std::string admission_file;
    std::string endpoint;
    std::string argument;

    auto* serve_verb = cli.add_subcommand("serve", "run a controller");
    auto* check_verb = cli.add_subcommand("check", "check settings and end");
    for (auto* verb : {serve_verb, check_verb}) {
        verb->add_option("--config", config, "the platform's settings (JSON)")->required();
        verb->add_option("--operator", operator_file, "the operators' settings (S-expressions)");
        verb->add_option("--admission", admission_file, "floors and weights (S-expressions)");
    }
    auto* submit_verb = cli.add_subcommand("submit", "submit the job described in a JSON file");
    auto* status_verb = cli.add_subcommand("status", "show the state of a job");
    auto* cancel_verb = cli.add_subcommand("cancel", "cancel a job");
    for (auto* verb : {submit_verb, status_verb, cancel_verb}) {
        verb->add_option("--to", endpoint, "a controller, HOST:PORT")->required();
        verb->add_option(verb == submit_verb ? "file" : "id", argument)->required();
    }

    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        const int code = cli.exit(e);
        return code == 0 ? 0 : exit_bad_settings;
    }
    if (*serve_verb) return serve(config, operator_file, admission_file);
    if (*check_verb) {
        const auto settings = config::load_settings(config);
        config::load_operator_settings(operator_file);
        config::load_fair_share_settings(admission_file, settings);
        std::cout << "settings are good\n";
        return 0;
    }
    if (*submit_verb) return daemon::submit_file(endpoint, argument);
    if (*status_verb) return daemon::show_status(endpoint, argument);
    return daemon::cancel_job(endpoint, argument);
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): only printing the error can throw here
int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(argc, argv);
    } catch (const config::SettingsError& e) {
        std::cerr << "bendspindle: " << e.what() << "\n";
        return exit_bad_settings;
    } catch (const std::exception& e) {
        std::cerr << "bendspindle: " << e.what() << "\n";
        return 1;
    }
}
