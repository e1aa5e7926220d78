// Tests of direct calls that wait for a sender thread.
#include "agents/agent_command_client.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <string>
#include <thread>

#include "core/model/fencing_token.hpp"

namespace bendspindle::agents {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int hung_agents = 40;  // more than there are sender threads
constexpr std::uint64_t term = 1;

// A leader with agents that accept connections and never answer, and one that does, which is called
// last. Kept until the process ends, because the sender threads run until then.
class QueuedCalls {
  public:
    QueuedCalls() {
        const auto hung_port = hung_.bind_to_any_port("127.0.0.1");
        answering_.Post("/orders", [this](const auto& request, auto& response) {
            if (request.body.find("start") != std::string::npos) ++starts_;
            response.status = 409;
        });
        const auto port = answering_.bind_to_any_port("127.0.0.1");
        std::thread([this] { answering_.listen_after_bind(); }).detach();
        core::Config config;
        config.zones = {"a"};
        config.teams = {{"red", {}, {}}};
        auto access = leader_state_.lock();
        access.install(std::make_unique<core::Controller>(config, term), 1);
        core::MachineType type;
        type.name = "g8";
        type.size = {1, 0, 64};
        type.zones = {"a"};
        access.controller()->set_types({type});
        for (int i = 0; i < hung_agents; ++i)
            add_machine(*access.controller(), "m" + std::to_string(i), hung_port);
        add_machine(*access.controller(), "z", port);
    }
    // Places a job with a task for each machine, and queues the calls that start them.
    void start_job() {
        core::JobSpec spec;
        spec.id = "job-1";
        spec.team = "red";
        spec.tasks = hung_agents + 1;
        spec.need = {1, 0, 1};
        auto access = leader_state_.lock();
        access.controller()->load_job({spec, "c0", {}, 0, {}, core::TerminalState::none}, 1,
                                      Clock::now());
        access.controller()->cycle(Clock::now());
        auto calls = access.controller()->direct_commands(Clock::now());
        ASSERT_EQ(calls.size(), static_cast<std::size_t>(hung_agents + 1));
        client_.start();
        for (auto& call : calls) client_.send(std::move(call));
    }
    void cancel_job() {
        ASSERT_TRUE(leader_state_.lock().controller()->cancel("job-1", Clock::now()));
    }
    int starts() const { return starts_; }

  private:
    static void add_machine(core::Controller& controller, const std::string& name, int port) {
        core::Heartbeat heartbeat;
        heartbeat.machine = name;
        heartbeat.address = "127.0.0.1:" + std::to_string(port);
        heartbeat.type = "g8";
        heartbeat.zone = "a";
        heartbeat.agent_epoch = heartbeat.sequence = 1;
        heartbeat.fencing_token = core::fencing_token(term);
        controller.load_machine(
            {name, heartbeat.address, "g8", "a", false, core::MachineStage::running, {}}, 1,
            Clock::now());
        (void)controller.heartbeat(heartbeat, Clock::now());
    }

    httplib::Server hung_;  // bound, but accepts nothing
    httplib::Server answering_;
    std::atomic<int> starts_{0};
    state::LeaderState leader_state_;
    AgentCommandClient client_{leader_state_};
};

// Guards against ran_cancelled. Fails, see KNOWN-RED.txt.
TEST(AgentCommandClient, DISABLED_AQueuedStartOfACancelledJobIsNotSent) {
    auto& calls = *new QueuedCalls();
    calls.start_job();
    calls.cancel_job();
    constexpr auto all_calls_time_out = 6s;
    std::this_thread::sleep_for(all_calls_time_out);
    EXPECT_EQ(calls.starts(), 0);
}

}  // namespace
}  // namespace bendspindle::agents
