// The program as it is called from a shell: what it prints and the exit codes that scripts rely on.
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

struct StoreStatus {
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
    StoreStatus run(std::vector<std::string> words) const {
        words.insert(words.begin(), PROGRAM);
        std::vector<char*> argv;
        for (auto& word : words) argv.push_back(word.data());
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
    std::string good_settings() const {
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
    void expect_refused(const std::vector<std::string>& words, const std::string& line) const {
        const auto got = run(words);
        EXPECT_EQ(got.code, 2) << line;
        EXPECT_EQ(got.out, "");
        EXPECT_EQ(got.err, "bendspindle: " + line + "\n");
    }

    std::filesystem::path directory_;
};

TEST_F(CommandLine, VersionIsPrinted) {
    const auto got = run({"--version"});
    EXPECT_EQ(got.code, 0);
    EXPECT_EQ(got.out, VERSION "\n");
    EXPECT_EQ(got.err, "");
}

TEST_F(CommandLine, HelpNamesVerbsAndOptions) {
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
    for (const auto& [words, parts] : helps) {
        const auto got = run(words);
        EXPECT_EQ(got.code, 0) << words[0];
        EXPECT_EQ(got.err, "") << words[0];
        for (const auto& part : parts)
            EXPECT_NE(got.out.find(part), std::string::npos) << words[0] << ": " << part;
    }
}

TEST_F(CommandLine, CheckAcceptsGoodSettings) {
    const std::string deploy = std::string(SOURCE_DIR) + "/deploy/";
    for (const auto& words : std::vector<std::vector<std::string>>{
             {"check", "--config", good_settings()},
             {"check", "--config", good_settings(), "--operator", deploy + "operator.sexp",
              "--admission", deploy + "admission.sexp"}}) {
        const auto got = run(words);
        EXPECT_EQ(got.code, 0);
        EXPECT_EQ(got.out, "settings are good\n");
        EXPECT_EQ(got.err, "");
    }
}

TEST_F(CommandLine, CheckAndServeNameTheMistake) {
    const auto good = good_settings();
    const auto broken = write("broken", "{");
    const auto missing = path("missing");
    const auto own = write("own", "((cycles 2))");
    const auto floors = write("floors", "((team blue 1))");
    for (const std::string verb : {"check", "serve"}) {
        expect_refused({verb, "--config", broken}, broken + ": is not JSON");
        expect_refused({verb, "--config", missing}, missing + ": cannot be read");
        expect_refused({verb, "--config", good, "--operator", own},
                       own + ": cycles is not a known setting");
        expect_refused({verb, "--config", good, "--operator", missing},
                       missing + ": cannot be read");
        expect_refused({verb, "--config", good, "--admission", floors},
                       floors + ": there is no team blue");
    }
}

TEST_F(CommandLine, WrongCallsEndWithTwo) {
    for (const auto& words :
         std::vector<std::vector<std::string>>{{},
                                               {"launch"},
                                               {"--nonsense"},
                                               {"check"},
                                               {"serve"},
                                               {"check", "--config"},
                                               {"submit", "--to", "127.0.0.1:1"},
                                               {"status", "job-1"},
                                               {"cancel", "--to", "127.0.0.1:1"}}) {
        const auto got = run(words);
        EXPECT_EQ(got.code, 2);
        EXPECT_EQ(got.out, "");
        EXPECT_NE(got.err, "");
    }
}

TEST_F(CommandLine, ClientVerbsRefuseABadEndpointOrFile) {
    const auto job = write("job", "{}");
    const auto broken = write("broken", "{");
    expect_refused({"status", "--to", "nowhere", "job-1"}, "--to: is not HOST:PORT");
    expect_refused({"cancel", "--to", "nowhere", "job-1"}, "--to: is not HOST:PORT");
    expect_refused({"submit", "--to", "nowhere", job}, "--to: is not HOST:PORT");
    expect_refused({"submit", "--to", "127.0.0.1:1", broken}, broken + ": is not JSON");
    expect_refused({"submit", "--to", "127.0.0.1:1", path("missing")},
                   path("missing") + ": cannot be read");
}

TEST_F(CommandLine, WithoutAControllerClientVerbsEndWithThree) {
    const auto job = write("job", "{}");
    for (const auto& words :
         std::vector<std::vector<std::string>>{{"submit", "--to", "127.0.0.1:1", job},
                                               {"status", "--to", "127.0.0.1:1", "job-1"},
                                               {"cancel", "--to", "127.0.0.1:1", "job-1"}}) {
        const auto got = run(words);
        EXPECT_EQ(got.code, 3) << words[0];
        EXPECT_EQ(got.out, "") << words[0];
        EXPECT_EQ(got.err, "bendspindle: no answer\n") << words[0];
    }
}

}  // namespace
}  // namespace bendspindle
