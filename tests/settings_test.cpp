#include "config/settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace bendspindle::config {
namespace {

class SettingsFile : public testing::Test {
  protected:
    void SetUp() override {
        file_ = (std::filesystem::temp_directory_path() /
                 ("bendspindle-settings-" + std::to_string(::getpid())))
                    .string();
        valid_ = nlohmann::json::parse(R"({
            "node_name": "c0", "domain": "a", "listen": "127.0.0.1:8080",
            "internal_addr": "127.0.0.1:8081", "new_field": 1,
            "siblings": [{"node_name": "c1", "domain": "b", "endpoint": "127.0.0.2:8081"}],
            "external": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
            "deployment": {
                "zones": ["a", "b"],
                "teams": [{"name": "t", "gpus": 4, "gpus_max": 8}],
                "objectives": [{"kind": "wait", "class": "c", "within_s": 12, "share": 0.8},
                               {"kind": "new-kind", "x": 1}],
                "workers": {"report_s": 3, "lease_s": 19, "gang_wait_s": 50, "gang_peer_s": 4,
                            "cancel_s": 39},
                "state": {"rps": 150, "write_rps": 60, "value_kb": 32, "txn_ops": 48},
                "cloud": {"rps": 2, "list_lag_s": 3},
                "resources": {"cpu_share": 0.1, "mem_mb": 100, "max_sockets": 500}
            }})");
    }
    void TearDown() override { std::filesystem::remove(file_); }
    std::string write(const std::string& text) {
        std::ofstream(file_) << text;
        return file_;
    }
    std::string platform_settings_error(const nlohmann::json& document) {
        try {
            load_settings(write(document.dump()));
        } catch (const SettingsError& e) {
            return e.what();
        }
        return "";
    }
    std::string operator_settings_error(const std::string& text) {
        try {
            load_operator_settings(write(text));
        } catch (const SettingsError& e) {
            return e.what();
        }
        return "";
    }

    std::string file_;
    nlohmann::json valid_;
};

TEST_F(SettingsFile, ValidSettingsAreRead) {
    const auto s = load_settings(write(valid_.dump()));
    EXPECT_EQ(s.name, "c0");
    EXPECT_EQ(s.peers.at(0).endpoint.port, 8081);
    EXPECT_DOUBLE_EQ(s.teams.at(0).limit.gpus, 8);
    EXPECT_DOUBLE_EQ(s.agent_timings.lease.count(), 19);
    EXPECT_DOUBLE_EQ(s.objectives.start_within.at("c").count(), 12);
}

TEST_F(SettingsFile, ErrorsNameTheFileAndTheField) {
    auto invalid = valid_;
    invalid["deployment"]["workers"].erase("lease_s");
    EXPECT_NE(
        platform_settings_error(invalid).find(file_ + ": deployment.workers.lease_s is missing"),
        std::string::npos);
    invalid = valid_;
    invalid["listen"] = "nowhere";
    EXPECT_NE(platform_settings_error(invalid).find("listen is not HOST:PORT"), std::string::npos);
    invalid = valid_;
    invalid["siblings"][0].erase("endpoint");
    EXPECT_NE(platform_settings_error(invalid).find("siblings[0].endpoint is missing"),
              std::string::npos);
    invalid = valid_;
    invalid["deployment"]["cloud"]["rps"] = "two";
    EXPECT_NE(platform_settings_error(invalid).find("deployment.cloud.rps is not a number"),
              std::string::npos);
    EXPECT_THROW(load_settings(write("{")), SettingsError);
}

TEST_F(SettingsFile, OperatorSettings) {
    const auto operator_settings = load_operator_settings(
        write("; a comment\n((cycle-s 1.5) ; another\n (headroom 2) (log-level debug))\n"));
    EXPECT_DOUBLE_EQ(operator_settings.cycle.count(), 1.5);
    EXPECT_EQ(operator_settings.log_level, "debug");
    EXPECT_NE(operator_settings_error("((cycles 2))").find("cycles is not a known setting"),
              std::string::npos);
    EXPECT_NE(operator_settings_error("((cycle-s soon))").find("cycle-s must be a number"),
              std::string::npos);
    EXPECT_FALSE(operator_settings_error("((cycle-s -1))").empty());
    EXPECT_FALSE(operator_settings_error("(cycle-s 1)").empty());
    EXPECT_FALSE(operator_settings_error("cycle-s").empty());
}

TEST_F(SettingsFile, ShippedOperatorFileContainsTheDefaults) {
    const auto operator_settings =
        load_operator_settings(std::string(SOURCE_DIR) + "/deploy/operator.sexp");
    const OperatorSettings defaults;
    EXPECT_DOUBLE_EQ(operator_settings.cycle.count(), defaults.cycle.count());
    EXPECT_DOUBLE_EQ(operator_settings.leader_lease.count(), defaults.leader_lease.count());
    EXPECT_DOUBLE_EQ(operator_settings.idle_return.count(), defaults.idle_return.count());
    EXPECT_DOUBLE_EQ(operator_settings.headroom, defaults.headroom);
    EXPECT_DOUBLE_EQ(operator_settings.demand_memory.count(), defaults.demand_memory.count());
    EXPECT_EQ(operator_settings.max_connection_threads, defaults.max_connection_threads);
    EXPECT_EQ(operator_settings.stack_kb, defaults.stack_kb);
    EXPECT_EQ(operator_settings.max_cached_terminal_states, defaults.max_cached_terminal_states);
}

TEST_F(SettingsFile, TheLastValueOfARepeatedNameCounts) {
    auto text = valid_.dump();
    text.replace(0, 1, R"({"node_name": "c7", )");
    EXPECT_EQ(load_settings(write(text)).name, "c0");
    text.replace(text.size() - 1, 1, R"(, "node_name": "c8"})");
    EXPECT_EQ(load_settings(write(text)).name, "c8");
    EXPECT_DOUBLE_EQ(load_operator_settings(write("((headroom 2) (headroom 3))")).headroom, 3);
}

TEST_F(SettingsFile, TextThatIsNotUtf8IsRefusedOrNamesNothing) {
    auto text = valid_.dump();
    text.replace(text.find("\"c0\""), 4, "\"\xe9\"");
    EXPECT_THROW(load_settings(write(text)), SettingsError);
    EXPECT_FALSE(operator_settings_error("((headroom\xe9 2))").empty());
    EXPECT_FALSE(operator_settings_error("((headroom \xf0\x28\x8c))").empty());
    EXPECT_FALSE(operator_settings_error("((log-level inf\xe9))").empty());
    Settings settings;
    settings.teams.push_back({"red", {}, {}});
    EXPECT_THROW(load_fair_share_settings(write("((team red\xe9 2))"), settings), SettingsError);
    const auto shares = load_fair_share_settings(write("((class scan\xe9 2))"), settings);
    EXPECT_FALSE(shares.class_weights.contains("scan"));
}

TEST_F(SettingsFile, FairShareSettings) {
    Settings settings;
    settings.teams.push_back({"red", {}, {}});
    const auto fair_share_settings_error = [&](const std::string& text) {
        try {
            load_fair_share_settings(write(text), settings);
        } catch (const SettingsError& e) {
            return std::string(e.what());
        }
        return std::string();
    };
    const auto shares = load_fair_share_settings(
        write("((floors 0.4) (patience-s 20) (class scan 2) (team red 3)) ; all"), settings);
    EXPECT_DOUBLE_EQ(shares.total_share, 0.4);
    EXPECT_DOUBLE_EQ(shares.starvation_timeout.count(), 20);
    EXPECT_DOUBLE_EQ(shares.class_weights.at("scan"), 2);
    EXPECT_DOUBLE_EQ(shares.team_weights.at("red"), 3);
    for (const auto& [text, message] : std::map<std::string, std::string>{
             {"((floors 1.5))", "floors must be at most 1"},
             {"((floors much))", "floors must be a number"},
             {"((team blue 1))", "there is no team blue"},
             {"((class scan 0))", "class scan must be a number above 0"},
             {"((class scan 1) (class scan 2))", "class scan is given twice"},
             {"((patience 5))", "an entry is not"},
             {"(floors 1)", "an entry is not"},
             {"floors", "is not an S-expression list"}})
        EXPECT_NE(fair_share_settings_error(text).find(message), std::string::npos) << text;
}

TEST_F(SettingsFile, ShippedAdmissionFileContainsTheDefaults) {
    const auto shares =
        load_fair_share_settings(std::string(SOURCE_DIR) + "/deploy/admission.sexp", Settings{});
    const fair_share::FairShareSettings defaults;
    EXPECT_DOUBLE_EQ(shares.total_share, defaults.total_share);
    EXPECT_DOUBLE_EQ(shares.starvation_timeout.count(), defaults.starvation_timeout.count());
    EXPECT_TRUE(shares.class_weights.empty() && shares.team_weights.empty());
}

TEST_F(SettingsFile, NoAdmissionFileDisablesMinimumShares) {
    EXPECT_DOUBLE_EQ(load_fair_share_settings("", Settings{}).total_share, 0);
}

TEST(MaxConnections, TheScarcestResourceDecides) {
    Settings settings;
    OperatorSettings operator_settings;
    operator_settings.max_connection_threads = 500;
    settings.max_sockets = 2000;
    settings.memory_mb = 200;
    EXPECT_EQ(max_connections(settings, operator_settings), 500U);
    settings.max_sockets = 300;
    EXPECT_EQ(max_connections(settings, operator_settings), 200U);
    settings.memory_mb = 16;
    EXPECT_EQ(max_connections(settings, operator_settings), 102U);
    settings.memory_mb = 0.1;
    EXPECT_EQ(max_connections(settings, operator_settings), 1U);
}

}  // namespace
}  // namespace bendspindle::config
