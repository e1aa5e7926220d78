// Tests of the cloud calls of a leader whose lease may have expired.
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

// A leader with one machine to release. Kept until the process ends, because its thread runs until
// then.
struct CloudClientFixture {
    explicit CloudClientFixture(int port) : cloud(port, {}), settings(settings_of(port)) {
        core::Config config;
        config.zones = {"a"};
        config.teams = {{"red", {}, {}}};
        auto access = leader_state.lock();
        access.install(std::make_unique<core::Controller>(config, 1), 1);
        // Recorded by a former leader and silent for longer than a lease, so it is due for release.
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
    std::atomic<bool> lease_valid{false};
    CloudClient client{leader_state, settings, [this] { return lease_valid.load(); }};
};

// Guards against a leader that had stalled, continued with its earlier plan and released machines
// on which the next leader had tasks.
TEST(CloudClient, ReleasesNothingWithoutAValidLease) {
    auto& fixture = *new CloudClientFixture(22000 + static_cast<int>(::getpid() % 1000));
    std::thread([&fixture] { fixture.client.run(); }).detach();
    const auto until = Clock::now() + 3s;
    while (Clock::now() < until) {
        {
            auto access = fixture.leader_state.lock();
            access.controller()->cycle(Clock::now());
            ASSERT_TRUE(access.controller()->machines().contains("m1"));
        }
        std::this_thread::sleep_for(50ms);
    }
    fixture.lease_valid = true;
    bool released = false;
    const auto deadline = Clock::now() + 20s;
    while (!released && Clock::now() < deadline) {
        std::this_thread::sleep_for(50ms);
        auto access = fixture.leader_state.lock();
        access.controller()->cycle(Clock::now());
        released = !access.controller()->machines().contains("m1");
    }
    EXPECT_TRUE(released);
}

}  // namespace
}  // namespace bendspindle::cloud
