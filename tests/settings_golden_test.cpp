// The exact error message for every error in a settings file, and the name of every operator
// setting. Operators rely on the messages and keep their files across versions.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <tuple>

#include "config/settings.hpp"

namespace bendspindle::config {
namespace {

using nlohmann::json;

class SettingsGolden : public testing::Test {
  protected:
    void SetUp() override {
        file_ = (std::filesystem::temp_directory_path() /
                 ("bendspindle-settings-golden-" + std::to_string(::getpid())))
                    .string();
        valid_ = json::parse(R"({
            "node_name": "c0", "domain": "a", "listen": "127.0.0.1:8080",
            "internal_addr": "127.0.0.1:8081",
            "siblings": [{"node_name": "c1", "domain": "b", "endpoint": "127.0.0.2:8082"}],
            "external": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
            "deployment": {
                "zones": ["a", "b"],
                "teams": [{"name": "t", "cpus": 3, "gpus": 4, "cpus_max": 6, "gpus_max": 8}],
                "objectives": [{"kind": "wait", "class": "c", "within_s": 12},
                               {"kind": "guarantee", "within_s": 13}],
                "workers": {"report_s": 3, "lease_s": 19, "gang_wait_s": 50, "gang_peer_s": 4,
                            "cancel_s": 39},
                "state": {"rps": 150, "write_rps": 60, "value_kb": 31, "txn_ops": 48},
                "cloud": {"rps": 2, "list_lag_s": 3},
                "resources": {"mem_mb": 101, "max_sockets": 500}
            }})");
    }
    void TearDown() override { std::filesystem::remove(file_); }
    std::string write(const std::string& text) {
        std::ofstream(file_) << text;
        return file_;
    }
    // Returns the error message of `load` without the file name that it starts with, or "accepted".
    template <typename Load>
    std::string error_of(const std::string& text, Load&& load) {
        write(text);
        try {
            load();
        } catch (const SettingsError& e) {
            const std::string line = e.what();
            EXPECT_TRUE(line.starts_with(file_ + ": ")) << line;
            return line.substr(std::min(line.size(), file_.size() + 2));
        }
        return "accepted";
    }
    std::string platform_error(const std::string& text) {
        return error_of(text, [&] { load_settings(file_); });
    }
    std::string operator_error(const std::string& text) {
        return error_of(text, [&] { load_operator_settings(file_); });
    }
    std::string admission_error(const std::string& text) {
        Settings settings;
        settings.teams.push_back({"red", {}, {}});
        return error_of(text, [&] { load_fair_share_settings(file_, settings); });
    }

    std::string file_;
    json valid_;
};

TEST_F(SettingsGolden, EachFieldIsRead) {
    const auto s = load_settings(write(valid_.dump()));
    EXPECT_EQ(s.name + " " + s.zone, "c0 a");
    EXPECT_EQ(s.listen.host, "127.0.0.1");
    EXPECT_EQ(std::tuple(s.listen.port, s.internal.port, s.cloud.port, s.state.port),
              std::tuple(8080, 8081, 1, 2));
    ASSERT_EQ(s.peers.size(), 1U);
    EXPECT_EQ(s.peers[0].name + " " + s.peers[0].zone, "c1 b");
    EXPECT_EQ(s.peers[0].endpoint.host, "127.0.0.2");
    EXPECT_EQ(s.peers[0].endpoint.port, 8082);
    EXPECT_EQ(s.zones, (std::vector<std::string>{"a", "b"}));
    ASSERT_EQ(s.teams.size(), 1U);
    const auto& t = s.teams[0];
    EXPECT_EQ(std::tuple(t.name, t.guaranteed.cpus, t.guaranteed.gpus, t.limit.cpus, t.limit.gpus),
              std::tuple("t", 3, 4, 6, 8));
    EXPECT_EQ(s.objectives.start_within.at("c").count(), 12);
    EXPECT_EQ(s.objectives.guaranteed_start->count(), 13);
    EXPECT_EQ(std::tuple(s.agent_timings.heartbeat.count(), s.agent_timings.lease.count(),
                         s.agent_timings.gang_wait.count(), s.agent_timings.gang_peer.count(),
                         s.agent_timings.cancel.count()),
              std::tuple(3, 19, 50, 4, 39));
    EXPECT_EQ(std::tuple(s.state_limits.requests_per_s, s.state_limits.writes_per_s,
                         s.state_limits.value_kb, s.state_limits.txn_ops),
              std::tuple(150, 60, 31U, 48U));
    EXPECT_EQ(std::tuple(s.cloud_requests_per_s, s.list_lag.count(), s.memory_mb, s.max_sockets),
              std::tuple(2, 3, 101, 500U));
}

TEST_F(SettingsGolden, EachMissingField) {
    for (const auto* field : {"/node_name",
                              "/domain",
                              "/listen",
                              "/internal_addr",
                              "/siblings",
                              "/external",
                              "/external/cloud",
                              "/external/state",
                              "/deployment",
                              "/deployment/zones",
                              "/deployment/teams",
                              "/deployment/objectives",
                              "/deployment/workers",
                              "/deployment/workers/report_s",
                              "/deployment/workers/lease_s",
                              "/deployment/workers/gang_wait_s",
                              "/deployment/workers/gang_peer_s",
                              "/deployment/workers/cancel_s",
                              "/deployment/state",
                              "/deployment/state/rps",
                              "/deployment/state/write_rps",
                              "/deployment/state/value_kb",
                              "/deployment/state/txn_ops",
                              "/deployment/cloud",
                              "/deployment/cloud/rps",
                              "/deployment/cloud/list_lag_s",
                              "/deployment/resources",
                              "/deployment/resources/max_sockets",
                              "/deployment/resources/mem_mb"}) {
        auto invalid = valid_;
        const json::json_pointer at(field);
        invalid[at.parent_pointer()].erase(at.back());
        std::string dotted(field + 1);
        std::replace(dotted.begin(), dotted.end(), '/', '.');
        EXPECT_EQ(platform_error(invalid.dump()), dotted + " is missing");
    }
    for (const auto* field : {"node_name", "domain", "endpoint"}) {
        auto invalid = valid_;
        invalid["siblings"][0].erase(field);
        EXPECT_EQ(platform_error(invalid.dump()),
                  std::string("siblings[0].") + field + " is missing");
    }
}

TEST_F(SettingsGolden, EachErrorInThePlatformFile) {
    const std::vector<std::tuple<const char*, json, const char*>> cases{
        {"/node_name", 7, "node_name is not text"},
        {"/node_name", "", "node_name is not text"},
        {"/listen", "nowhere", "listen is not HOST:PORT"},
        {"/external/state", "h:0", "external.state is not HOST:PORT"},
        {"/siblings", 1, "siblings is not a list"},
        {"/siblings/0", 1, "siblings[0] is not a map"},
        {"/external", 1, "external is not a map"},
        {"/deployment/zones", "a", "deployment.zones is not a list"},
        {"/deployment/zones/0", 1, "deployment.zones holds what is not text"},
        {"/deployment/zones", json::array(), "deployment.zones is empty"},
        {"/deployment/teams/0/gpus", "x", "deployment.teams[0].gpus is not a number"},
        {"/deployment/teams/0/cpus_max", -1, "deployment.teams[0].cpus_max is out of range"},
        {"/deployment/objectives/0/within_s", 0,
         "deployment.objectives[0].within_s must be more than 0"},
        {"/deployment/workers/lease_s", 0, "deployment.workers.lease_s must be more than 0"},
        {"/deployment/workers/lease_s", -1, "deployment.workers.lease_s is out of range"},
        {"/deployment/cloud/list_lag_s", -1, "deployment.cloud.list_lag_s is out of range"}};
    for (const auto& [field, value, line] : cases) {
        auto invalid = valid_;
        invalid[json::json_pointer(field)] = value;
        EXPECT_EQ(platform_error(invalid.dump()), line);
    }
    EXPECT_EQ(platform_error("{"), "is not JSON");
    EXPECT_EQ(platform_error("[]"), " is not a map");
    std::filesystem::remove(file_);
    try {
        load_settings(file_);
        ADD_FAILURE() << "a missing file was accepted";
    } catch (const SettingsError& e) {
        EXPECT_EQ(e.what(), file_ + ": cannot be read");
    }
}

TEST_F(SettingsGolden, EachNameInTheOperatorFile) {
    const auto operator_settings = load_operator_settings(
        write("((log-level error) (cycle-s 1.5) (lease-s 3) (idle-return-s 16) (least-paid-s 61)"
              " (demand-memory-s 62) (headroom 2.5) (threads 161) (stack-kb 257)"
              " (finals-cached 4097))"));
    EXPECT_EQ(operator_settings.log_level, "error");
    EXPECT_EQ(
        std::tuple(operator_settings.cycle.count(), operator_settings.leader_lease.count(),
                   operator_settings.idle_return.count(), operator_settings.least_paid.count(),
                   operator_settings.demand_memory.count(), operator_settings.headroom),
        std::tuple(1.5, 3, 16, 61, 62, 2.5));
    EXPECT_EQ(std::tuple(operator_settings.max_connection_threads, operator_settings.stack_kb,
                         operator_settings.max_cached_terminal_states),
              std::tuple(161U, 257U, 4097U));
    for (const std::string name :
         {"cycle-s", "lease-s", "idle-return-s", "least-paid-s", "demand-memory-s", "headroom",
          "threads", "stack-kb", "finals-cached"}) {
        const auto entry = "((" + name + " ";
        EXPECT_EQ(operator_error(entry + "soon))"), name + " must be a number from 0");
        EXPECT_EQ(operator_error(entry + "-1))"), name + " must be a number from 0");
        EXPECT_EQ(operator_error(entry + "0))"), name + " must be a number above 0");
    }
    EXPECT_EQ(operator_error("((log-level loud))"), "log-level must be error, info or debug");
    EXPECT_EQ(operator_error("((cycles 2))"), "cycles is not a known setting");
    EXPECT_EQ(operator_error("((cycle-s 2 3))"), "an entry is not (NAME VALUE)");
    EXPECT_EQ(operator_error("(cycle-s 1)"), "an entry is not (NAME VALUE)");
    EXPECT_EQ(operator_error("cycle-s"), "is not an S-expression list");
}

TEST_F(SettingsGolden, EachErrorInTheAdmissionFile) {
    const std::string wrong_form =
        "an entry is not (NAME VALUE), (class NAME WEIGHT) or (team NAME WEIGHT)";
    for (const auto& [text, line] : std::vector<std::pair<std::string, std::string>>{
             {"((floors 1.5))", "floors must be at most 1"},
             {"((floors much))", "floors must be a number from 0"},
             {"((patience-s -1))", "patience-s must be a number from 0"},
             {"((team blue 1))", "there is no team blue"},
             {"((team red 0))", "team red must be a number above 0"},
             {"((team red x))", "team red must be a number from 0"},
             {"((team red 1) (team red 2))", "team red is given twice"},
             {"((class scan 0))", "class scan must be a number above 0"},
             {"((class scan x))", "class scan must be a number from 0"},
             {"((class scan 1) (class scan 2))", "class scan is given twice"},
             {"((patience 5))", wrong_form},
             {"(floors 1)", wrong_form},
             {"floors", "is not an S-expression list"}})
        EXPECT_EQ(admission_error(text), line) << text;
}

}  // namespace
}  // namespace bendspindle::config
