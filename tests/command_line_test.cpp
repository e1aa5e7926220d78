// The command line of the program: its output and the exit codes that scripts rely on.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace bendspindle {
namespace {

struct CommandResult {
    int code = -1;
    std::string out;
    std::string err;
};

class CommandLine : public testing::Test {
  protected:
    void SetUp() override {
        directory_ = std::filesystem::temp_directory_path() /
                     ("bendspindle-command-line-" + std::to_string(::getpid()));
        std::filesystem::create_directories(directory_);
    }
    void TearDown() override { std::filesystem::remove_all(directory_); }

    std::string path(const std::string& name) const { return (directory_ / name).string(); }
    std::string write(const std::string& name, const std::string& text) const {
        std::ofstream(path(name)) << text;
        return path(name);
    }
    std::string read(const std::string& name) const {
        std::ifstream in(path(name));
        return {std::istreambuf_iterator<char>(in), {}};
    }
    CommandResult run(std::vector<std::string> arguments) const {
        arguments.insert(arguments.begin(), PROGRAM);
        std::vector<char*> argv;
        for (auto& argument : arguments) argv.push_back(argument.data());
        argv.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        constexpr int flags = O_WRONLY | O_CREAT | O_TRUNC;
        ::posix_spawn_file_actions_addopen(&actions, 1, path("out").c_str(), flags, 0600);
        ::posix_spawn_file_actions_addopen(&actions, 2, path("err").c_str(), flags, 0600);
        pid_t pid = -1;
        const int failed = ::posix_spawn(&pid, PROGRAM, &actions, nullptr, argv.data(), environ);
        ::posix_spawn_file_actions_destroy(&actions);
        if (failed != 0) return {};
        int status = 0;
        ::waitpid(pid, &status, 0);
        return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, read("out"), read("err")};
    }
    std::string valid_settings() const {
        return write("settings", R"({
            "node_name": "c0", "domain": "a", "listen": "127.0.0.1:8080",
            "internal_addr": "127.0.0.1:8081", "siblings": [],
            "external": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
            "deployment": {
                "zones": ["a"], "teams": [{"name": "t"}], "objectives": [],
                "workers": {"report_s": 3, "lease_s": 19, "gang_wait_s": 50, "gang_peer_s": 4,
                            "cancel_s": 39},
                "state": {"rps": 150, "write_rps": 60, "value_kb": 32, "txn_ops": 48},
                "cloud": {"rps": 2, "list_lag_s": 3},
                "resources": {"mem_mb": 100, "max_sockets": 500}}})");
    }
    void expect_refused(const std::vector<std::string>& arguments, const std::string& line) const {
        const auto result = run(arguments);
        EXPECT_EQ(result.code, 2) << line;
        EXPECT_EQ(result.out, "");
        EXPECT_EQ(result.err, "bendspindle: " + line + "\n");
    }

    std::filesystem::path directory_;
};

TEST_F(CommandLine, VersionIsPrinted) {
    const auto result = run({"--version"});
    EXPECT_EQ(result.code, 0);
    EXPECT_EQ(result.out, VERSION "\n");
    EXPECT_EQ(result.err, "");
}

TEST_F(CommandLine, HelpListsSubcommandsAndOptions) {
    const std::vector<std::pair<std::vector<std::string>, std::vector<std::string>>> helps{
        {{"--help"},
         {"bendspindle, a cluster scheduler", "--help", "--version", "serve", "run a controller",
          "check", "check settings and end", "submit", "submit the job described in a JSON file",
          "status", "show the state of a job", "cancel", "cancel a job"}},
        {{"serve", "--help"}, {"--config", "REQUIRED", "--operator", "--admission"}},
        {{"check", "--help"}, {"--config", "REQUIRED", "--operator", "--admission"}},
        {{"submit", "--help"}, {"--to", "a controller, HOST:PORT", "file"}},
        {{"status", "--help"}, {"--to", "a controller, HOST:PORT", "id"}},
        {{"cancel", "--help"}, {"--to", "a controller, HOST:PORT", "id"}}};
    for (const auto& [arguments, parts] : helps) {
        const auto result = run(arguments);
        EXPECT_EQ(result.code, 0) << arguments[0];
        EXPECT_EQ(result.err, "") << arguments[0];
        for (const auto& part : parts)
            EXPECT_NE(result.out.find(part), std::string::npos) << arguments[0] << ": " << part;
    }
}

TEST_F(CommandLine, CheckAcceptsValidSettings) {
    const std::string deploy = std::string(SOURCE_DIR) + "/deploy/";
    for (const auto& arguments : std::vector<std::vector<std::string>>{
             {"check", "--config", valid_settings()},
             {"check", "--config", valid_settings(), "--operator", deploy + "operator.sexp",
              "--admission", deploy + "admission.sexp"}}) {
        const auto result = run(arguments);
        EXPECT_EQ(result.code, 0);
        EXPECT_EQ(result.out, "settings are good\n");
        EXPECT_EQ(result.err, "");
    }
}

TEST_F(CommandLine, CheckAndServeReportInvalidSettings) {
    const auto valid = valid_settings();
    const auto broken = write("broken", "{");
    const auto missing = path("missing");
    const auto operator_file = write("operator_file", "((cycles 2))");
    const auto admission_file = write("admission_file", "((team blue 1))");
    for (const std::string subcommand : {"check", "serve"}) {
        expect_refused({subcommand, "--config", broken}, broken + ": is not JSON");
        expect_refused({subcommand, "--config", missing}, missing + ": cannot be read");
        expect_refused({subcommand, "--config", valid, "--operator", operator_file},
                       operator_file + ": cycles is not a known setting");
        expect_refused({subcommand, "--config", valid, "--operator", missing},
                       missing + ": cannot be read");
        expect_refused({subcommand, "--config", valid, "--admission", admission_file},
                       admission_file + ": there is no team blue");
    }
}

TEST_F(CommandLine, WrongUsageExitsWithTwo) {
    for (const auto& arguments :
         std::vector<std::vector<std::string>>{{},
                                               {"launch"},
                                               {"--nonsense"},
                                               {"check"},
                                               {"serve"},
                                               {"check", "--config"},
                                               {"submit", "--to", "127.0.0.1:1"},
                                               {"status", "job-1"},
                                               {"cancel", "--to", "127.0.0.1:1"}}) {
        const auto result = run(arguments);
        EXPECT_EQ(result.code, 2);
        EXPECT_EQ(result.out, "");
        EXPECT_NE(result.err, "");
    }
}

TEST_F(CommandLine, ClientCommandsRejectAnInvalidEndpointOrFile) {
    const auto job = write("job", "{}");
    const auto broken = write("broken", "{");
    expect_refused({"status", "--to", "nowhere", "job-1"}, "--to: is not HOST:PORT");
    expect_refused({"cancel", "--to", "nowhere", "job-1"}, "--to: is not HOST:PORT");
    expect_refused({"submit", "--to", "nowhere", job}, "--to: is not HOST:PORT");
    expect_refused({"submit", "--to", "127.0.0.1:1", broken}, broken + ": is not JSON");
    expect_refused({"submit", "--to", "127.0.0.1:1", path("missing")},
                   path("missing") + ": cannot be read");
}

std::string nested(const std::string& opening, const std::string& closing, int depth) {
    std::string text;
    for (int i = 0; i < depth; ++i) text += opening;
    for (int i = 0; i < depth; ++i) text += closing;
    return text;
}

// Guards against the end of the process by a stack overflow in the S-expression library.
TEST_F(CommandLine, NestedOrEndlessSExpressionsEndNoProcess) {
    constexpr int many = 2'000'000;
    const auto valid = valid_settings();
    const auto deep = write("deep", nested("(", ")", 1000));
    const auto deeper = write("deeper", nested("(", ")", many));
    const auto wide = write("wide", "(" + nested("() ", "", many) + ")");
    for (const std::string subcommand : {"check", "serve"})
        for (const std::string option : {"--operator", "--admission"}) {
            expect_refused({subcommand, "--config", valid, option, deep},
                           deep + ": is nested too deeply");
            for (const auto& large : {deeper, wide})
                expect_refused({subcommand, "--config", valid, option, large},
                               large + ": is larger than 65536 bytes");
        }
    for (const auto& text : {nested("( \")\" ", "", 10'000), "(" + nested("() ", "", 20'000) + ")",
                             nested("'", "", 60'000), nested("(\"", "", 15)})
        EXPECT_EQ(run({"check", "--config", valid, "--operator", write("odd", text)}).code, 2);
}

// Guards against the end of the client by a stack overflow while it writes CBOR.
TEST_F(CommandLine, ANestedJobEndsNoClient) {
    for (const int depth : {12, 13, 1000, 200'000})
        for (const auto& [opening, closing] :
             std::vector<std::pair<std::string, std::string>>{{"[", "]"}, {"{\"k\":[", "]}"}}) {
            const auto job = write("job", "{\"uid\":" + nested(opening, closing, depth) + "}");
            expect_refused({"submit", "--to", "127.0.0.1:1", job}, job + ": is nested too deeply");
        }
    const auto shallow = write("job", "{\"uid\":" + nested("[", "]", 11) + "}");
    EXPECT_EQ(run({"submit", "--to", "127.0.0.1:1", shallow}).code, 3);
}

TEST_F(CommandLine, NestedSettingsEndNoProcess) {
    for (const auto& text : {nested("[", "]", 200'000), nested("{\"k\":", "}", 200'000),
                             "{\"node_name\":" + nested("[", "]", 200'000) + "}"}) {
        const auto settings = write("settings", text);
        for (const std::string subcommand : {"check", "serve"})
            EXPECT_EQ(run({subcommand, "--config", settings}).code, 2);
    }
}

TEST_F(CommandLine, ClientCommandsWithoutAControllerExitWithThree) {
    const auto job = write("job", "{}");
    for (const auto& arguments :
         std::vector<std::vector<std::string>>{{"submit", "--to", "127.0.0.1:1", job},
                                               {"status", "--to", "127.0.0.1:1", "job-1"},
                                               {"cancel", "--to", "127.0.0.1:1", "job-1"}}) {
        const auto result = run(arguments);
        EXPECT_EQ(result.code, 3) << arguments[0];
        EXPECT_EQ(result.out, "") << arguments[0];
        EXPECT_EQ(result.err, "bendspindle: no answer\n") << arguments[0];
    }
}

}  // namespace
}  // namespace bendspindle
