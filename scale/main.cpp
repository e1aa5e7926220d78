// bendspindle-scale: plays a large deployment on one machine and tells what its controllers took.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "measure.hpp"
#include "run.hpp"
#include "settings.hpp"

namespace {

using namespace bendspindle::scale;

constexpr int exit_broken = 1;
constexpr int exit_settings = 2;
constexpr int exit_run = 3;

int tell(const RunResult& result, const std::string& out) {
    if (!out.empty()) std::ofstream(out) << result.figures.dump(1) << "\n";
    std::cout << table(result.figures);
    if (result.ended_by_itself) std::cerr << "a controller ended by itself\n";
    if (result.nothing_ran) std::cerr << "nothing was started\n";
    if (result.rule_broken) std::cerr << "a rule was broken\n";
    return result.ended_by_itself || result.nothing_ran || result.rule_broken ? exit_broken : 0;
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): only declaring options and printing could still throw
int main(int argc, char** argv) {
    CLI::App app{
        "Plays a large deployment: real controller processes over loopback, a stand-in state "
        "service and cloud, and thousands of hollow workers in this process. Ends with 0; "
        "1: a rule was broken, nothing ran or a controller ended by itself; 2: wrong "
        "settings; 3: the run could not be played."};
    std::string settings_file;
    std::string program;
    std::string out;
    app.add_option("settings", settings_file, "settings file (JSON; scale/small.json is one)")
        ->required();
    app.add_option("--program", program, "the service's program, one process of it a controller")
        ->required();
    app.add_option("--out", out, "where the results go as JSON; the table goes to standard output");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : exit_settings;
    }
    try {
        const auto settings = load_scale_settings(settings_file);
        check_memory(settings, machine_memory_mb());
        check_ports(settings);
        if (::access(program.c_str(), X_OK) != 0)
            throw SettingsError("--program: " + program + " cannot be run");
        return tell(play(settings, program), out);
    } catch (const SettingsError& e) {
        std::cerr << e.what() << "\n";
        return exit_settings;
    } catch (const std::exception& e) {
        std::cerr << "the run ended early: " << e.what() << "\n";
        return exit_run;
    }
}
