// The scale run: its settings, the simulated agent's side of the protocol, and its small run.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

#include "http.hpp"
#include "measure.hpp"
#include "settings.hpp"
#include "simulated_agent.hpp"

namespace bendspindle::scale {
namespace {

using namespace std::chrono_literals;
using core::ExitCause;
using core::TaskCommand;
using core::TaskState;
using nlohmann::json;

std::string small_text() {
    std::ostringstream out;
    out << std::ifstream(SOURCE_DIR "/scale/small.json").rdbuf();
    return out.str();
}

// The message that a changed form of the small run's settings is refused with; empty: taken.
std::string refusal(const std::function<void(json&)>& change) {
    auto settings = json::parse(small_text());
    change(settings);
    try {
        parse_scale_settings("f", settings.dump());
    } catch (const SettingsError& e) {
        return e.what();
    }
    return {};
}

TEST(ScaleSettings, SmallRunIsTaken) {
    const auto settings = parse_scale_settings("f", small_text());
    EXPECT_EQ(settings.workers.count, 240);
    EXPECT_EQ(settings.faults.size(), 3U);
    EXPECT_EQ(settings.teams().size(), 8U);
    // 240 workers of 16 cores: an even part of 480 for each team, and twice that.
    EXPECT_EQ(settings.teams().front().limit.cpus, 960);
    EXPECT_EQ(settings.ports().size(), 2U + 3 * 3);
}

TEST(ScaleSettings, WrongFieldsAreNamed) {
    EXPECT_EQ(refusal([](json& s) { s["colour"] = 1; }), "f: colour is not a known field");
    EXPECT_EQ(refusal([](json& s) { s["load"]["colour"] = 1; }),
              "f: load.colour is not a known field");
    EXPECT_EQ(refusal([](json& s) { s["time"].erase("seed"); }), "f: time.seed is missing");
    EXPECT_EQ(refusal([](json& s) { s["workers"]["count"] = "many"; }),
              "f: workers.count is not a whole number");
    EXPECT_EQ(refusal([](json& s) { s["workers"]["count"] = 2.5; }),
              "f: workers.count is not a whole number");
    EXPECT_EQ(refusal([](json& s) { s["load"]["gang_most"] = 65; }),
              "f: load.gang_most must be from 1 to 64");
    EXPECT_EQ(refusal([](json& s) { s["rates"]["hang_s"] = -1; }),
              "f: rates.hang_s must be from 0 to 86400");
    EXPECT_EQ(refusal([](json& s) { s["zones"] = json::array(); }), "f: zones is empty");
    EXPECT_EQ(refusal([](json& s) { s["load"] = 3; }), "f: load is not a map");
    EXPECT_EQ(refusal([](json& s) { s["faults"][1]["place"] = "z"; }),
              "f: faults[1].place is no region, zone or rack");
    EXPECT_EQ(refusal([](json& s) { s["faults"][1]["what"] = "storm"; }),
              "f: faults[1].what must be end_leader, lose, cut or hang");
    EXPECT_EQ(refusal([](json& s) { s["faults"][0]["at_s"] = 31; }),
              "f: faults[0].at_s is after the end of the run");
    EXPECT_EQ(refusal([](json& s) { s["load"]["cpus"] = 17; }), "f: load.cpus fits no worker");
    EXPECT_THROW(parse_scale_settings("f", "{"), SettingsError);
}

TEST(ScaleSettings, HalfOfTheMemoryIsTheMost) {
    auto settings = parse_scale_settings("f", small_text());
    EXPECT_NO_THROW(check_memory(settings, 2048));
    settings.workers.count = 20'000;
    try {
        check_memory(settings, 4096);
        FAIL();
    } catch (const SettingsError& e) {
        EXPECT_TRUE(std::string(e.what()).starts_with("workers.count: ")) << e.what();
    }
    settings.controllers.memory_mb = 2000;
    try {
        check_memory(settings, 4096);
        FAIL();
    } catch (const SettingsError& e) {
        EXPECT_TRUE(std::string(e.what()).starts_with("controllers.count: ")) << e.what();
    }
}

// One or more machines of four cores that share an oracle with a few jobs.
class SimulatedAgentTest : public testing::Test {
  protected:
    SimulatedAgentTest() : oracle_({team("t", 100), team("narrow", 2)}, 16s) {}

    static core::Team team(const std::string& name, double cpus) {
        core::Team out;
        out.name = name;
        out.limit.cpus = cpus;
        return out;
    }
    void job(const std::string& id, core::Kind kind = core::Kind::array, std::uint32_t tasks = 4,
             const std::string& of = "t") {
        core::JobSpec spec;
        spec.id = id;
        spec.team = of;
        spec.kind = kind;
        spec.tasks = tasks;
        spec.need = {2, 0, 1};
        spec.image = "img";
        spec.image_gb = 1;
        oracle_.add(spec, Seconds(10), now_);
    }
    std::unique_ptr<SimulatedAgent> worker(const std::string& name) {
        core::AgentTimings times;
        times.heartbeat = Seconds(2);
        times.lease = Seconds(10);
        times.gang_wait = Seconds(20);
        times.gang_peer = Seconds(4);
        return std::make_unique<SimulatedAgent>(
            MachineIdentity{name, "127.1.0.1:1", "m", "a", {4, 0, 64}, 1.0}, times, oracle_, now_);
    }
    static TaskCommand command(TaskCommand::Verb verb, const std::string& job, std::uint32_t index,
                               std::uint64_t attempt) {
        return {verb, job, index, attempt, Seconds(0)};
    }
    static TaskCommand start(const std::string& job, std::uint32_t index,
                             std::uint64_t attempt = 1) {
        return command(TaskCommand::Verb::start, job, index, attempt);
    }
    // An answer to a heartbeat that was sent just now.
    bool answer(SimulatedAgent& worker, std::uint64_t fencing_token,
                std::vector<TaskCommand> commands = {}) {
        return worker.answered(now_, worker.agent_epoch(), {fencing_token, {}, std::move(commands)},
                               now_);
    }
    void pass(SimulatedAgent& worker, Seconds time) {
        now_ = core::later(now_, time);
        worker.advance(now_);
    }
    static std::string tasks_of(SimulatedAgent& worker) {
        std::string out;
        for (const auto& task : worker.heartbeat().tasks)
            out += task.job + "/" + std::to_string(task.index) + " " +
                   std::to_string(static_cast<int>(task.state)) + " " +
                   std::to_string(static_cast<int>(task.cause)) + ";";
        return out;
    }
    static std::string seen(const std::string& task, TaskState state,
                            ExitCause cause = ExitCause::none) {
        return task + " " + std::to_string(static_cast<int>(state)) + " " +
               std::to_string(static_cast<int>(cause)) + ";";
    }

    core::TimePoint now_ = core::TimePoint(std::chrono::hours(1));
    TaskOracle oracle_;
};

TEST_F(SimulatedAgentTest, ATaskFetchesRunsAndIsReaped) {
    job("job-1");
    const auto w = worker("n-1");
    EXPECT_TRUE(answer(*w, 1, {start("job-1", 0)}));
    EXPECT_EQ(tasks_of(*w), seen("job-1/0", TaskState::fetching));
    EXPECT_EQ(oracle_.counts().starts, 0U);
    pass(*w, 1s);
    EXPECT_EQ(tasks_of(*w), seen("job-1/0", TaskState::running));
    EXPECT_EQ(oracle_.counts().starts, 1U);
    answer(*w, 1, {start("job-1", 0)});  // repeated: no effect
    pass(*w, 5s);
    answer(*w, 1);
    pass(*w, 5s);
    EXPECT_EQ(tasks_of(*w), seen("job-1/0", TaskState::exited, ExitCause::done));
    answer(*w, 1, {start("job-1", 0), command(TaskCommand::Verb::acknowledge, "job-1", 0, 1)});
    EXPECT_EQ(tasks_of(*w), "");
    // The result is kept, and the image too.
    answer(*w, 1, {start("job-1", 0, 2)});
    pass(*w, 1ms);
    EXPECT_EQ(tasks_of(*w), seen("job-1/0", TaskState::exited, ExitCause::done));
    EXPECT_EQ(oracle_.counts().starts, 1U);
}

TEST_F(SimulatedAgentTest, StartsAreRefusedWithTheirCause) {
    job("job-1");
    const auto w = worker("n-1");
    answer(*w, 1,
           {start("job-1", 0), start("job-1", 1), start("job-1", 2), start("job-1", 0, 2),
            start("job-2", 0), start("job-1", 4)});
    EXPECT_EQ(tasks_of(*w), seen("job-1/0", TaskState::fetching) +
                                seen("job-1/1", TaskState::fetching) +
                                seen("job-1/2", TaskState::exited, ExitCause::no_room) +
                                seen("job-1/0", TaskState::exited, ExitCause::busy) +
                                seen("job-2/0", TaskState::exited, ExitCause::unknown) +
                                seen("job-1/4", TaskState::exited, ExitCause::unknown));
}

TEST_F(SimulatedAgentTest, ALowerTokenIsDroppedAndRenewsNothing) {
    job("job-1");
    const auto w = worker("n-1");
    EXPECT_TRUE(answer(*w, 5));
    pass(*w, 6s);
    EXPECT_FALSE(answer(*w, 4, {start("job-1", 0)}));
    EXPECT_FALSE(w->answered(now_, 1, {std::nullopt, {}, {start("job-1", 0)}}, now_));
    EXPECT_EQ(tasks_of(*w), "");
    EXPECT_EQ(w->fencing_token(), 5U);
    pass(*w, 5s);
    EXPECT_EQ(w->agent_epoch(), 2U);
}

TEST_F(SimulatedAgentTest, TheLeaseRunsFromWhenTheAnsweredHeartbeatWasSent) {
    job("job-1");
    const auto w = worker("n-1");
    answer(*w, 1, {start("job-1", 0)});
    const auto sent = now_;
    pass(*w, 3s);
    EXPECT_TRUE(w->answered(sent, 1, {1, {}, {}}, now_));
    pass(*w, 7s);
    EXPECT_EQ(w->agent_epoch(), 1U);
    EXPECT_LE(w->next_due(), sent + 10s + 1ms);
    pass(*w, 1ms);
    EXPECT_EQ(w->agent_epoch(), 2U);
    EXPECT_EQ(tasks_of(*w), "");
    EXPECT_EQ(oracle_.running(), 0U);
    // An answer to a heartbeat of the agent epoch before is dropped.
    EXPECT_FALSE(w->answered(now_, 1, {1, {}, {start("job-1", 1)}}, now_));
    EXPECT_EQ(tasks_of(*w), "");
}

TEST_F(SimulatedAgentTest, DirectCallsNeedTokenAndAgentEpochAndRenewNothing) {
    job("job-1");
    const auto w = worker("n-1");
    answer(*w, 5);
    EXPECT_EQ(w->direct({4, 1, {start("job-1", 0)}}, now_), 409);
    EXPECT_EQ(w->direct({5, 2, {start("job-1", 0)}}, now_), 409);
    EXPECT_EQ(w->direct({5, {}, {}}, now_), 400);
    EXPECT_EQ(w->direct({{}, 1, {}}, now_), 400);
    EXPECT_EQ(tasks_of(*w), "");
    EXPECT_EQ(w->direct({6, 1, {start("job-1", 0)}}, now_), 200);
    EXPECT_EQ(w->fencing_token(), 6U);
    EXPECT_EQ(tasks_of(*w), seen("job-1/0", TaskState::fetching));
    pass(*w, 9s);
    EXPECT_EQ(w->direct({6, 1, {}}, now_), 200);
    pass(*w, 2s);
    EXPECT_EQ(w->agent_epoch(), 2U);
}

TEST_F(SimulatedAgentTest, AHigherTokenIsAChangeOnceInHalfALease) {
    const auto w = worker("n-1");
    w->heartbeat_sent();
    answer(*w, 1);
    EXPECT_TRUE(w->changed());
    w->heartbeat_sent();
    answer(*w, 2);
    EXPECT_FALSE(w->changed());
    pass(*w, 6s);
    answer(*w, 3);
    EXPECT_TRUE(w->changed());
}

TEST_F(SimulatedAgentTest, HeartbeatsAreNumbered) {
    const auto w = worker("n-1");
    const auto first = w->heartbeat().sequence;
    EXPECT_EQ(w->heartbeat().sequence, first + 1);
}

TEST_F(SimulatedAgentTest, AGangRunsAndEndsTogether) {
    job("job-1", core::Kind::gang, 3);
    const auto a = worker("n-1");
    const auto b = worker("n-2");
    answer(*a, 1, {start("job-1", 0), start("job-1", 1)});
    pass(*a, 1s);
    EXPECT_EQ(tasks_of(*a),
              seen("job-1/0", TaskState::waiting) + seen("job-1/1", TaskState::waiting));
    answer(*b, 1, {start("job-1", 2)});
    pass(*b, 1s);
    EXPECT_EQ(tasks_of(*a),
              seen("job-1/0", TaskState::running) + seen("job-1/1", TaskState::running));
    EXPECT_EQ(tasks_of(*b), seen("job-1/2", TaskState::running));
    answer(*a, 1);
    answer(*b, 1);
    pass(*b, 10s);
    EXPECT_EQ(tasks_of(*a), seen("job-1/0", TaskState::exited, ExitCause::done) +
                                seen("job-1/1", TaskState::exited, ExitCause::done));
}

TEST_F(SimulatedAgentTest, ALostTaskEndsItsGang) {
    job("job-1", core::Kind::gang, 2);
    const auto a = worker("n-1");
    const auto b = worker("n-2");
    answer(*a, 1, {start("job-1", 0)});
    answer(*b, 1, {start("job-1", 1)});
    pass(*a, 1s);
    pass(*b, 0s);
    b->die(now_);
    EXPECT_EQ(tasks_of(*a), seen("job-1/0", TaskState::running, ExitCause::peers));
    pass(*a, 4s);
    EXPECT_EQ(tasks_of(*a), seen("job-1/0", TaskState::exited, ExitCause::peers));
    EXPECT_EQ(oracle_.running(), 0U);
}

TEST_F(SimulatedAgentTest, AGangThatIsNotCompleteGivesUp) {
    job("job-1", core::Kind::gang, 2);
    const auto a = worker("n-1");
    answer(*a, 1, {start("job-1", 0)});
    for (int i = 0; i < 3; ++i) {
        pass(*a, 7s);
        answer(*a, 1);
    }
    pass(*a, 7s);
    EXPECT_EQ(tasks_of(*a), seen("job-1/0", TaskState::exited, ExitCause::alone));
}

TEST_F(SimulatedAgentTest, BrokenRulesAreCounted) {
    job("job-1");
    job("job-2", core::Kind::array, 2, "narrow");
    const auto a = worker("n-1");
    const auto b = worker("n-2");
    answer(*a, 1, {start("job-1", 0), start("job-2", 0)});
    answer(*b, 1, {start("job-1", 0, 2), start("job-2", 1)});
    pass(*a, 1s);
    EXPECT_EQ(oracle_.counts().ran_twice + oracle_.counts().quota, 0U);
    pass(*b, 0s);
    EXPECT_EQ(oracle_.counts().ran_twice, 1U);
    EXPECT_EQ(oracle_.counts().quota, 1U);
    oracle_.job("job-1")->cancelled = now_;
    oracle_.check(now_ + 16s);
    EXPECT_EQ(oracle_.counts().ran_cancelled, 0U);
    oracle_.check(now_ + 17s);
    EXPECT_EQ(oracle_.counts().ran_cancelled, 2U);
}

TEST(HttpReader, CutsAStreamIntoMessages) {
    HttpReader reader;
    const auto text = request_text("POST", "/checkin", "abc") + response_text(421, "");
    for (const char c : text.substr(0, text.size() - 1)) reader.append({&c, 1});
    const auto request = reader.next();
    ASSERT_TRUE(request);
    EXPECT_EQ(request->method + " " + request->target + " " + request->body, "POST /checkin abc");
    EXPECT_FALSE(reader.next());
    reader.append(text.substr(text.size() - 1));
    const auto response = reader.next();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 421);
    EXPECT_TRUE(reader.empty());
    reader.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    EXPECT_FALSE(reader.next());
    EXPECT_TRUE(reader.broken());
}

TEST(Quantiles, AreThoseOfTheNearestRank) {
    const auto q = quantiles({5, 1, 2, 4, 3});
    EXPECT_EQ(q.count, 5U);
    EXPECT_EQ(q.p50, 3);
    EXPECT_EQ(q.p99, 5);
    EXPECT_EQ(q.most, 5);
    EXPECT_EQ(quantiles({}).count, 0U);
}

// Runs the program and gives its exit code and what it wrote to standard error.
std::pair<int, std::string> run(const std::string& settings, const std::string& more) {
    const auto command = std::string(SCALE_PROGRAM) + " " + settings + " --program " + PROGRAM +
                         " " + more + " 2>&1 >/dev/null";
    auto* pipe = ::popen(command.c_str(), "r");
    std::string said;
    std::array<char, 4096> bytes{};
    while (const auto n = std::fread(bytes.data(), 1, bytes.size(), pipe))
        said.append(bytes.data(), n);
    return {WEXITSTATUS(::pclose(pipe)), said};
}

class ScaleRun : public testing::Test {
  protected:
    ScaleRun() {
        directory_ = std::filesystem::temp_directory_path() /
                     ("bendspindle-scale-test-" + std::to_string(::getpid()));
        std::filesystem::create_directories(directory_);
    }
    ~ScaleRun() override { std::filesystem::remove_all(directory_); }
    std::string file(const std::function<void(json&)>& change) {
        auto settings = json::parse(small_text());
        settings["first_port"] = first_port_;
        change(settings);
        auto path = (directory_ / "settings.json").string();
        std::ofstream(path) << settings.dump();
        return path;
    }

    int first_port_ = 13'000 + static_cast<int>(::getpid() % 60) * 100;
    std::filesystem::path directory_;
};

TEST_F(ScaleRun, WrongSettingsEndItWithOneLine) {
    auto [code, said] = run(file([](json& s) { s["load"]["colour"] = 1; }), "");
    EXPECT_EQ(code, 2);
    EXPECT_NE(said.find("load.colour is not a known field\n"), std::string::npos) << said;
    EXPECT_EQ(std::count(said.begin(), said.end(), '\n'), 1) << said;

    std::tie(code, said) = run(file([](json& s) { s["controllers"]["memory_mb"] = 65'000; }), "");
    EXPECT_EQ(code, 2);
    EXPECT_TRUE(said.starts_with("controllers.count: ")) << said;
    EXPECT_EQ(std::count(said.begin(), said.end(), '\n'), 1) << said;
}

TEST_F(ScaleRun, APortInUseEndsItWithOneLine) {
    EventLoop loop;
    const auto port = first_port_ + 21;  // where the second controller would be heard by the others
    const HttpListener taken(loop, static_cast<std::uint16_t>(port),
                             [](const auto&, auto) { return std::nullopt; });
    const auto [code, said] = run(file([](json&) {}), "");
    EXPECT_EQ(code, 2);
    EXPECT_EQ(said, "first_port: port " + std::to_string(port) + " is in use\n");
}

// Some hundred workers; the leader is killed and back at once, a rack and a zone are lost.
TEST_F(ScaleRun, SmallRunKeepsTheRules) {
    const auto results = (directory_ / "results.json").string();
    const auto [code, said] = run(file([](json&) {}), "--out " + results);
    EXPECT_EQ(code, 0) << said;
    json figures;
    std::ifstream(results) >> figures;
    for (const auto& [rule, count] : figures["rules"]["broken"].items())
        EXPECT_EQ(count, 0) << rule;
    EXPECT_EQ(figures["faults"].size(), 3U);
    EXPECT_EQ(figures["faults"][1]["machines"], 20);
    EXPECT_GT(figures["faults"][2]["machines"], 50);
    EXPECT_GT(figures["totals"]["starts"], 200);
    EXPECT_GT(figures["totals"]["jobs_accepted"], 30);
    EXPECT_EQ(figures["totals"]["jobs_refused"], 0);
    EXPECT_EQ(figures["windows"].size(), 6U);
    // All ports are free again: nothing of it is left.
    for (const auto port : parse_scale_settings("f", json(figures["settings"]).dump()).ports())
        EXPECT_FALSE(port_in_use(static_cast<std::uint16_t>(port))) << port;
}

}  // namespace
}  // namespace bendspindle::scale
