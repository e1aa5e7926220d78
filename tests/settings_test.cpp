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
        good_ = nlohmann::json::parse(R"({
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
    std::string complaint(const nlohmann::json& document) {
        try {
            load_settings(write(document.dump()));
        } catch (const SettingsError& e) {
            return e.what();
        }
        return "";
    }
    std::string own_complaint(const std::string& text) {
        try {
            load_operator_settings(write(text));
        } catch (const SettingsError& e) {
            return e.what();
        }
        return "";
    }

    std::string file_;
    nlohmann::json good_;
};

TEST_F(SettingsFile, GoodOnesAreRead) {
    const auto s = load_settings(write(good_.dump()));
    EXPECT_EQ(s.name, "c0");
    EXPECT_EQ(s.peers.at(0).endpoint.port, 8081);
    EXPECT_DOUBLE_EQ(s.teams.at(0).limit.gpus, 8);
    EXPECT_DOUBLE_EQ(s.workers.lease.count(), 19);
    EXPECT_DOUBLE_EQ(s.objectives.start_within.at("c").count(), 12);
}

TEST_F(SettingsFile, WrongOnesNameFileAndField) {
    auto wrong = good_;
    wrong["deployment"]["workers"].erase("lease_s");
    EXPECT_NE(complaint(wrong).find(file_ + ": deployment.workers.lease_s is missing"),
              std::string::npos);
    wrong = good_;
    wrong["listen"] = "nowhere";
    EXPECT_NE(complaint(wrong).find("listen is not HOST:PORT"), std::string::npos);
    wrong = good_;
    wrong["siblings"][0].erase("endpoint");
    EXPECT_NE(complaint(wrong).find("siblings[0].endpoint is missing"), std::string::npos);
    wrong = good_;
    wrong["deployment"]["cloud"]["rps"] = "two";
    EXPECT_NE(complaint(wrong).find("deployment.cloud.rps is not a number"), std::string::npos);
    EXPECT_THROW(load_settings(write("{")), SettingsError);
}

TEST_F(SettingsFile, OperatorsFile) {
    const auto own = load_operator_settings(
        write("; a comment\n((cycle-s 1.5) ; another\n (headroom 2) (log-level debug))\n"));
    EXPECT_DOUBLE_EQ(own.cycle.count(), 1.5);
    EXPECT_EQ(own.log_level, "debug");
    EXPECT_NE(own_complaint("((cycles 2))").find("cycles is not a known setting"),
              std::string::npos);
    EXPECT_NE(own_complaint("((cycle-s soon))").find("cycle-s must be a number"),
              std::string::npos);
    EXPECT_FALSE(own_complaint("((cycle-s -1))").empty());
    EXPECT_FALSE(own_complaint("(cycle-s 1)").empty());
    EXPECT_FALSE(own_complaint("cycle-s").empty());
}

TEST_F(SettingsFile, TheShippedOperatorsFileHoldsTheDefaults) {
    const auto own = load_operator_settings(std::string(SOURCE_DIR) + "/deploy/operator.sexp");
    const OperatorSettings defaults;
    EXPECT_DOUBLE_EQ(own.cycle.count(), defaults.cycle.count());
    EXPECT_DOUBLE_EQ(own.lease.count(), defaults.lease.count());
    EXPECT_DOUBLE_EQ(own.idle_return.count(), defaults.idle_return.count());
    EXPECT_DOUBLE_EQ(own.headroom, defaults.headroom);
    EXPECT_DOUBLE_EQ(own.demand_memory.count(), defaults.demand_memory.count());
    EXPECT_EQ(own.threads, defaults.threads);
    EXPECT_EQ(own.stack_kb, defaults.stack_kb);
    EXPECT_EQ(own.terminal_states_cached, defaults.terminal_states_cached);
}

TEST_F(SettingsFile, Admission) {
    Settings settings;
    settings.teams.push_back({"red", {}, {}});
    const auto complaint_of = [&](const std::string& text) {
        try {
            load_fair_share_settings(write(text), settings);
        } catch (const SettingsError& e) {
            return std::string(e.what());
        }
        return std::string();
    };
    const auto floors = load_fair_share_settings(
        write("((floors 0.4) (patience-s 20) (class scan 2) (team red 3)) ; all"), settings);
    EXPECT_DOUBLE_EQ(floors.total_share, 0.4);
    EXPECT_DOUBLE_EQ(floors.starvation_timeout.count(), 20);
    EXPECT_DOUBLE_EQ(floors.class_weights.at("scan"), 2);
    EXPECT_DOUBLE_EQ(floors.team_weights.at("red"), 3);
    for (const auto& [text, said] : std::map<std::string, std::string>{
             {"((floors 1.5))", "floors must be at most 1"},
             {"((floors much))", "floors must be a number"},
             {"((team blue 1))", "there is no team blue"},
             {"((class scan 0))", "class scan must be a number above 0"},
             {"((class scan 1) (class scan 2))", "class scan is given twice"},
             {"((patience 5))", "an entry is not"},
             {"(floors 1)", "an entry is not"},
             {"floors", "is not an S-expression list"}})
        EXPECT_NE(complaint_of(text).find(said), std::string::npos) << text;
}

TEST_F(SettingsFile, TheShippedAdmissionFileHoldsTheDefaults) {
    const auto floors =
        load_fair_share_settings(std::string(SOURCE_DIR) + "/deploy/admission.sexp", Settings{});
    const fair_share::FairShareSettings defaults;
    EXPECT_DOUBLE_EQ(floors.total_share, defaults.total_share);
    EXPECT_DOUBLE_EQ(floors.starvation_timeout.count(), defaults.starvation_timeout.count());
    EXPECT_TRUE(floors.class_weights.empty() && floors.team_weights.empty());
}

TEST_F(SettingsFile, WithoutAnAdmissionFileThereAreNoFloors) {
    EXPECT_DOUBLE_EQ(load_fair_share_settings("", Settings{}).total_share, 0);
}

TEST(MostConnections, WhatIsScarceDecides) {
    Settings settings;
    OperatorSettings own;
    own.threads = 500;
    settings.most_sockets = 2000;
    settings.memory_mb = 200;
    EXPECT_EQ(max_connections(settings, own), 500U);
    settings.most_sockets = 300;
    EXPECT_EQ(max_connections(settings, own), 200U);
    settings.memory_mb = 16;
    EXPECT_EQ(max_connections(settings, own), 102U);
    settings.memory_mb = 0.1;
    EXPECT_EQ(max_connections(settings, own), 1U);
}

}  // namespace
}  // namespace bendspindle::config
