// Three real processes on loopback against the stand-ins: answers, a kill, a restart of all.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "standin/services.hpp"

namespace bendspindle {
namespace {

using namespace std::chrono_literals;
using wire::Value;

class Controllers {
  public:
    explicit Controllers(int base) : base_(base) {
        directory_ = std::filesystem::temp_directory_path() /
                     ("bendspindle-processes-" + std::to_string(::getpid()));
        std::filesystem::create_directories(directory_);
        for (int i = 0; i < 3; ++i) {
            Value siblings = Value::array();
            for (int k = 0; k < 3; ++k)
                if (k != i)
                    siblings.push_back({{"node_name", "c" + std::to_string(k)},
                                        {"domain", "a"},
                                        {"endpoint", address(10 + k)}});
            const Value settings{
                {"node_name", "c" + std::to_string(i)},
                {"domain", "a"},
                {"listen", address(i)},
                {"internal_addr", address(10 + i)},
                {"siblings", siblings},
                {"external", {{"state", address(20)}, {"cloud", address(21)}}},
                {"deployment",
                 {{"zones", {"a"}},
                  {"teams", {{{"name", "t"}, {"cpus_max", 64.0}}}},
                  {"objectives", Value::array()},
                  {"workers",
                   {{"report_s", 1.0},
                    {"lease_s", 30.0},
                    {"gang_wait_s", 30.0},
                    {"gang_peer_s", 4.0},
                    {"cancel_s", 30.0}}},
                  {"state",
                   {{"rps", 500.0}, {"write_rps", 300.0}, {"value_kb", 32.0}, {"txn_ops", 12}}},
                  {"cloud", {{"rps", 20.0}, {"list_lag_s", 1.0}}},
                  {"resources", {{"cpu_share", 1.0}, {"mem_mb", 500.0}, {"max_sockets", 500}}}}}};
            std::ofstream(directory_ / ("c" + std::to_string(i))) << settings.dump();
            pids_.push_back(-1);
        }
    }
    ~Controllers() {
        for (int i = 0; i < 3; ++i) kill(i);
        std::filesystem::remove_all(directory_);
    }
    std::vector<int> ports() const { return {base_, base_ + 1, base_ + 2}; }
    void start(int i) {
        const auto file = (directory_ / ("c" + std::to_string(i))).string();
        pids_[static_cast<std::size_t>(i)] = ::fork();
        if (pids_[static_cast<std::size_t>(i)] == 0) {
            ::setenv("LOG_LEVEL", "error", 1);
            ::execl(PROGRAM, PROGRAM, "serve", "--config", file.c_str(), nullptr);
            ::_exit(127);
        }
    }
    // True if it was still running: a controller never ends by itself.
    bool kill(int i) {
        auto& pid = pids_[static_cast<std::size_t>(i)];
        if (pid <= 0) return true;
        const bool running = ::waitpid(pid, nullptr, WNOHANG) == 0;
        if (running) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        pid = -1;
        return running;
    }
    // How it ended after SIGTERM: its exit code, or -1 if it did not end by itself in time.
    int terminate(int i) {
        auto& pid = pids_[static_cast<std::size_t>(i)];
        ::kill(pid, SIGTERM);
        const auto until = std::chrono::steady_clock::now() + 20s;
        int status = 0;
        while (::waitpid(pid, &status, WNOHANG) == 0) {
            if (std::chrono::steady_clock::now() > until) return -1;
            std::this_thread::sleep_for(20ms);
        }
        pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::string address(int offset) const { return "127.0.0.1:" + std::to_string(base_ + offset); }

  private:
    int base_;
    std::filesystem::path directory_;
    std::vector<pid_t> pids_;
};

class Processes : public testing::Test {
  protected:
    Processes()
        : base_(20000 + static_cast<int>(::getpid() % 400) * 30),
          state_(base_ + 20),
          controllers_(base_),
          cloud_(base_ + 21, controllers_.ports()) {}

    // Asks controller after controller until one answers with something final for the question.
    std::pair<int, Value> ask(const std::string& path, const std::optional<std::string>& body) {
        const auto until = std::chrono::steady_clock::now() + 60s;
        for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
            httplib::Client client("127.0.0.1", base_ + i % 3);
            client.set_connection_timeout(1s);
            client.set_read_timeout(6s);
            const auto result =
                body ? client.Post(path, *body, "application/cbor") : client.Get(path);
            if (result && result->status != 503)
                return {result->status, wire::parse_cbor(result->body).value_or(Value{})};
            std::this_thread::sleep_for(200ms);
        }
        return {0, {}};
    }
    std::string stage_within_a_minute(const std::string& id, const std::string& wanted) {
        const auto until = std::chrono::steady_clock::now() + 60s;
        std::string stage;
        while (std::chrono::steady_clock::now() < until) {
            stage = ask("/work/" + id, std::nullopt).second.value("stage", "");
            if (stage == wanted) break;
            std::this_thread::sleep_for(200ms);
        }
        return stage;
    }
    static std::string job(const std::string& id, core::Kind kind = core::Kind::array) {
        core::JobSpec spec;
        spec.id = id;
        spec.job_class = "c";
        spec.team = "t";
        spec.kind = kind;
        spec.tasks = 3;
        spec.need = {1, 0, 1};
        spec.image = "img";
        spec.spot = true;
        spec.estimate = core::Seconds(0.5);
        return wire::job_body(spec);
    }

    int base_;
    standin::StateService state_;
    Controllers controllers_;
    standin::CloudAndWorkers cloud_;
};

TEST_F(Processes, AnswerThroughKillsAndRestarts) {
    for (int i = 0; i < 3; ++i) controllers_.start(i);
    EXPECT_EQ(ask("/work", job("job-1")).first, 201);
    EXPECT_EQ(ask("/work", job("job-1")).first, 200);
    EXPECT_EQ(ask("/work", std::string("nonsense")).first, 400);
    EXPECT_EQ(ask("/work", std::string(70'000, '\x81')).first, 400);
    EXPECT_EQ(ask("/work/job-unknown", std::nullopt).first, 404);
    EXPECT_EQ(ask("/work/..%2fview", std::nullopt).first, 404);
    EXPECT_EQ(ask("/elsewhere", std::nullopt).first, 404);
    EXPECT_EQ(ask("/checkin", std::nullopt).first, 405);
    EXPECT_EQ(stage_within_a_minute("job-1", "done"), "done");

    EXPECT_EQ(ask("/work", job("job-2", core::Kind::service)).first, 201);
    EXPECT_EQ(stage_within_a_minute("job-2", "running"), "running");
    EXPECT_EQ(ask("/work/job-2/cancel", std::string()).second.value("stage", ""), "aborted");

    // Each controller accepts by itself, whoever acts.
    for (int i = 0; i < 3; ++i) {
        const auto id = "job-at-" + std::to_string(i);
        httplib::Client client("127.0.0.1", base_ + i);
        client.set_read_timeout(6s);
        const auto result = client.Post("/work", job(id), "application/cbor");
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status, 201);
        EXPECT_EQ(stage_within_a_minute(id, "done"), "done");
    }

    EXPECT_TRUE(controllers_.kill(0));
    EXPECT_EQ(ask("/work", job("job-3")).first, 201);
    EXPECT_EQ(stage_within_a_minute("job-3", "done"), "done");

    EXPECT_TRUE(controllers_.kill(1));
    EXPECT_TRUE(controllers_.kill(2));
    for (int i = 0; i < 3; ++i) controllers_.start(i);
    EXPECT_EQ(stage_within_a_minute("job-1", "done"), "done");
    EXPECT_EQ(stage_within_a_minute("job-2", "aborted"), "aborted");
    EXPECT_EQ(ask("/work", job("job-3")).first, 200);
    EXPECT_EQ(ask("/work", job("job-4")).first, 201);
    EXPECT_EQ(stage_within_a_minute("job-4", "done"), "done");
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(controllers_.kill(i)) << "ended by itself";
}

// Asked to stop one after the other, whichever of them acts: each ends with 0, and what was
// accepted is done by those that are left.
TEST_F(Processes, AskedToStopTheyHandOver) {
    for (int i = 0; i < 3; ++i) controllers_.start(i);
    for (int i = 0; i < 2; ++i) {
        const auto id = "job-" + std::to_string(i);
        EXPECT_EQ(ask("/work", job(id)).first, 201);
        EXPECT_EQ(controllers_.terminate(i), 0);
        EXPECT_EQ(stage_within_a_minute(id, "done"), "done");
    }
    EXPECT_EQ(controllers_.terminate(2), 0);
}

}  // namespace
}  // namespace bendspindle
