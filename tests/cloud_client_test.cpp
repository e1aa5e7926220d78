// The dealings with the cloud of a controller that may have lost its right to them.
#include "cloud/cloud_client.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "standin/services.hpp"

namespace bendspindle::cloud {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// Lives as long as the process, as the thread that uses it does.
struct Desk {
    explicit Desk(int port) : cloud(port, {}), settings(settings_of(port)) {
        core::Config config;
        config.zones = {"a"};
        config.teams = {{"red", {}, {}}};
        auto access = leader_state.lock();
        access.install(std::make_unique<core::Controller>(config, 1), 1);
        // Recorded by a former controller and silent for longer than a lease: it is to be returned.
        access.controller()->load_machine(
            {"m1", "127.0.0.1:1", "m4", "a", false, core::MachineStage::running, core::Seconds{0}},
            1, Clock::now() - 60s);
    }
    static config::Settings settings_of(int port) {
        config::Settings out;
        out.cloud = {"127.0.0.1", port};
        out.cloud_requests_per_s = 100;
        return out;
    }
    standin::CloudAndWorkers cloud;
    config::Settings settings;
    state::LeaderState leader_state;
    std::atomic<bool> may_act{false};
    CloudClient desk{leader_state, settings, [this] { return may_act.load(); }};
};

// Guard: a controller that had stood still went on with the plan it had in hand and returned
// machines that its successor had work on.
TEST(CloudClient, ReturnsNothingWithoutAValidLease) {
    auto& d = *new Desk(22000 + static_cast<int>(::getpid() % 1000));
    std::thread([&d] { d.desk.run(); }).detach();
    const auto until = Clock::now() + 3s;
    while (Clock::now() < until) {
        {
            auto access = d.leader_state.lock();
            access.controller()->cycle(Clock::now());
            ASSERT_TRUE(access.controller()->machines().contains("m1"));
        }
        std::this_thread::sleep_for(50ms);
    }
    d.may_act = true;
    bool gone = false;
    const auto latest = Clock::now() + 20s;
    while (!gone && Clock::now() < latest) {
        std::this_thread::sleep_for(50ms);
        auto access = d.leader_state.lock();
        access.controller()->cycle(Clock::now());
        gone = !access.controller()->machines().contains("m1");
    }
    EXPECT_TRUE(gone);
}

}  // namespace
}  // namespace bendspindle::cloud
