// Three controller processes on the loopback interface with simulated services: requests, kills,
// restarts, graceful shutdown, and the renewal of agent leases during outages and partitions.
#include <gtest/gtest.h>

#include <algorithm>

#include "standin/controllers.hpp"
#include "standin/services.hpp"
#include "wire/agent_messages.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle {
namespace {

using namespace std::chrono_literals;
using standin::Controllers;
using standin::Setting;
using wire::Value;

class Processes : public testing::Test {
  protected:
    explicit Processes(const Setting& setting = {})
        : base_(standin::port_base()),
          state_({base_ + 20, base_ + 22, base_ + 23, base_ + 24}),
          controllers_(base_, setting),
          cloud_(base_ + 21, controllers_.ports()) {}
    ~Processes() override { EXPECT_EQ(cloud_.counts().restarted_attempts, 0); }

    // Sends the request to one controller after the other until one responds with a status other
    // than 503. Returns the status and the body; status 0 if none responded within 60 s.
    std::pair<int, Value> request(const std::string& path, const std::optional<std::string>& body) {
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
    std::string wait_for_stage(const std::string& id, const std::string& wanted) {
        const auto until = std::chrono::steady_clock::now() + 60s;
        std::string stage;
        while (std::chrono::steady_clock::now() < until) {
            stage = request("/work/" + id, std::nullopt).second.value("stage", "");
            if (stage == wanted) break;
            std::this_thread::sleep_for(200ms);
        }
        return stage;
    }
    static std::string job(const std::string& id, core::Kind kind = core::Kind::array,
                           bool spot = true) {
        core::JobSpec spec;
        spec.id = id;
        spec.job_class = "c";
        spec.team = "t";
        spec.kind = kind;
        spec.tasks = 3;
        spec.need = {1, 0, 1};
        spec.image = "img";
        spec.spot = spot;
        spec.estimate = core::Seconds(0.5);
        return wire::job_body(spec);
    }

    int base_;
    standin::StateService state_;
    Controllers controllers_;
    standin::CloudAndWorkers cloud_;
};

TEST_F(Processes, ServeRequestsAcrossKillsAndRestarts) {
    for (int i = 0; i < 3; ++i) controllers_.start(i);
    EXPECT_EQ(request("/work", job("job-1")).first, 201);
    EXPECT_EQ(request("/work", job("job-1")).first, 200);
    EXPECT_EQ(request("/work", std::string("nonsense")).first, 400);
    EXPECT_EQ(request("/work", std::string(70'000, '\x81')).first, 400);
    EXPECT_EQ(request("/work/job-unknown", std::nullopt).first, 404);
    EXPECT_EQ(request("/work/..%2fview", std::nullopt).first, 404);
    EXPECT_EQ(request("/elsewhere", std::nullopt).first, 404);
    EXPECT_EQ(request("/checkin", std::nullopt).first, 405);
    EXPECT_EQ(wait_for_stage("job-1", "done"), "done");

    EXPECT_EQ(request("/work", job("job-2", core::Kind::service)).first, 201);
    EXPECT_EQ(wait_for_stage("job-2", "running"), "running");
    EXPECT_EQ(request("/work/job-2/cancel", std::string()).second.value("stage", ""), "aborted");

    // Every controller accepts jobs, whichever of them is the leader.
    for (int i = 0; i < 3; ++i) {
        const auto id = "job-at-" + std::to_string(i);
        httplib::Client client("127.0.0.1", base_ + i);
        client.set_read_timeout(6s);
        const auto result = client.Post("/work", job(id), "application/cbor");
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status, 201);
        EXPECT_EQ(wait_for_stage(id, "done"), "done");
    }

    EXPECT_TRUE(controllers_.kill(0));
    EXPECT_EQ(request("/work", job("job-3")).first, 201);
    EXPECT_EQ(wait_for_stage("job-3", "done"), "done");

    EXPECT_TRUE(controllers_.kill(1));
    EXPECT_TRUE(controllers_.kill(2));
    for (int i = 0; i < 3; ++i) controllers_.start(i);
    EXPECT_EQ(wait_for_stage("job-1", "done"), "done");
    EXPECT_EQ(wait_for_stage("job-2", "aborted"), "aborted");
    EXPECT_EQ(request("/work", job("job-3")).first, 200);
    EXPECT_EQ(request("/work", job("job-4")).first, 201);
    EXPECT_EQ(wait_for_stage("job-4", "done"), "done");
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(controllers_.kill(i)) << "ended by itself";
}

// Guards against left_waiting: the starts of all tasks that fit on a machine, and the heartbeats
// that listed them, were larger than a message may be, so the job never ran.
TEST_F(Processes, RunManyTinyTasksInMessagesOfLimitedSize) {
    for (int i = 0; i < 3; ++i) controllers_.start(i);
    auto spec = *wire::parse_job(job("job-tiny")).job;
    spec.tasks = 1500;
    spec.need = {0.001, 0, 0.001};
    EXPECT_EQ(request("/work", wire::job_body(spec)).first, 201);
    EXPECT_EQ(wait_for_stage("job-tiny", "done"), "done");
    EXPECT_EQ(cloud_.counts().oversized_messages, 0);
}

// Guards against ran_twice: an answered direct start arrived again after the acknowledgement.
TEST_F(Processes, RepeatedDirectCallsStartNoAcknowledgedTaskAgain) {
    for (int i = 0; i < 3; ++i) controllers_.start(i);
    auto spec = *wire::parse_job(job("job-many")).job;
    spec.tasks = 60;
    EXPECT_EQ(request("/work", wire::job_body(spec)).first, 201);
    EXPECT_EQ(request("/work", job("job-cancelled", core::Kind::service)).first, 201);
    EXPECT_EQ(wait_for_stage("job-cancelled", "running"), "running");
    EXPECT_EQ(request("/work/job-cancelled/cancel", std::string()).second.value("stage", ""),
              "aborted");
    EXPECT_EQ(wait_for_stage("job-many", "done"), "done");
    // All copies arrive while no controller can raise a token by leading anew.
    for (int i = 0; i < 3; ++i) controllers_.kill(i);
    std::this_thread::sleep_for(4500ms);
    EXPECT_GE(cloud_.counts().repeated_calls, 10);
    EXPECT_EQ(cloud_.counts().restarted_attempts, 0);
}

// Stops the controllers one after the other with SIGTERM: each exits with 0, whether or not it is
// the leader, and the remaining controllers complete the accepted jobs.
TEST_F(Processes, GracefulShutdownHandsOverJobs) {
    for (int i = 0; i < 3; ++i) controllers_.start(i);
    for (int i = 0; i < 2; ++i) {
        const auto id = "job-" + std::to_string(i);
        EXPECT_EQ(request("/work", job(id)).first, 201);
        EXPECT_EQ(controllers_.terminate(i), 0);
        EXPECT_EQ(wait_for_stage(id, "done"), "done");
    }
    EXPECT_EQ(controllers_.terminate(2), 0);
}

// An agent that the test drives: it sends heartbeats to the controllers that the test selects and
// receives no direct commands.
class ManualAgent {
  public:
    ManualAgent() {
        heartbeat_.machine = "n-by-hand";
        heartbeat_.type = "m4";
        heartbeat_.zone = "a";
        heartbeat_.agent_epoch = 1;
    }
    // Sends a heartbeat. Returns the status, 0 if no response arrived. Stores the commands of an
    // accepted response in `commands`.
    int send_heartbeat(int port) {
        ++heartbeat_.sequence;
        httplib::Client client("127.0.0.1", port);
        client.set_connection_timeout(1s);
        client.set_read_timeout(4s);
        const auto result =
            client.Post("/checkin", wire::heartbeat_body(heartbeat_), "application/cbor");
        if (!result) return 0;
        const auto body = wire::parse_cbor(result->body);
        if (result->status != 200 || !body) return result->status;
        if (const auto fencing_token = (*body)["baton"].get<std::uint64_t>();
            fencing_token >= heartbeat_.fencing_token) {
            heartbeat_.fencing_token = fencing_token;
            commands = (*body)["orders"];
            renewed_at = std::chrono::steady_clock::now();
        }
        return 200;
    }
    bool received(const std::string& verb, const std::string& job) const {
        return std::any_of(commands.begin(), commands.end(), [&](const Value& command) {
            return command["verb"] == verb &&
                   command["piece"].get<std::string>().starts_with(job + "/");
        });
    }
    // Executes only start commands. Stop commands are only recorded, for the tests to check.
    void execute_starts(const std::string& job) {
        for (const auto& command : commands) {
            const auto piece = command["piece"].get<std::string>();
            if (command["verb"] != "start" || !piece.starts_with(job + "/")) continue;
            heartbeat_.tasks.push_back(
                {job, static_cast<std::uint32_t>(std::stoul(piece.substr(piece.rfind('/') + 1))),
                 command["try"].get<std::uint64_t>(), core::TaskState::running,
                 core::ExitCause::none, false});
        }
    }

    Value commands = Value::array();
    std::chrono::steady_clock::time_point renewed_at{};

  private:
    core::Heartbeat heartbeat_;
};

// Renewal of an agent's lease while the key-value store or the leader is unavailable. A controller
// that cannot learn of cancellations may renew the lease for cancel_s - lease_s - 2 s, or for 4 s
// if that is longer.
class LeaseRenewal : public Processes {
  protected:
    static constexpr auto max_uninformed_renewal = 4s;
    using Clock = std::chrono::steady_clock;

    explicit LeaseRenewal(const Setting& setting) : Processes(setting) {}
    int base(int i) const { return base_ + i; }
    // Starts the first controller, which becomes the leader, and starts a service job on the agent.
    void start_leader_and_job() {
        cloud_.list("n-by-hand");
        controllers_.start(0);
        const auto until = Clock::now() + 30s;
        while (agent_.send_heartbeat(base(0)) != 200 && Clock::now() < until)
            std::this_thread::sleep_for(100ms);
        // Waits until the machine is recorded, so that the job starts on it and the leader does not
        // scale out.
        std::this_thread::sleep_for(1s);
        ASSERT_EQ(agent_.send_heartbeat(base(0)), 200);
        httplib::Client client("127.0.0.1", base(0));
        client.set_read_timeout(6s);
        const auto result =
            client.Post("/work", job("job-1", core::Kind::service, false), "application/cbor");
        ASSERT_TRUE(result);
        ASSERT_EQ(result->status, 201);
        while (!agent_.received("start", "job-1") && Clock::now() < until) {
            std::this_thread::sleep_for(100ms);
            agent_.send_heartbeat(base(0));
        }
        agent_.execute_starts("job-1");
        ASSERT_EQ(agent_.send_heartbeat(base(0)), 200);
    }
    // Cancels the job at one controller. Returns the state in the response; empty if the request
    // failed.
    std::string cancel_at(int i) {
        httplib::Client client("127.0.0.1", base(i));
        client.set_read_timeout(6s);
        const auto result = client.Post("/work/job-1/cancel", std::string(), "application/cbor");
        if (!result || result->status != 200) return {};
        return wire::parse_cbor(result->body)->value("stage", "");
    }
    // Sends heartbeats to one controller for the given time. Returns whether it sent a stop
    // command.
    bool send_heartbeats_for(std::chrono::milliseconds time, int i) {
        bool stopped = false;
        for (const auto until = Clock::now() + time; Clock::now() < until;) {
            if (agent_.send_heartbeat(base(i)) == 200) stopped |= agent_.received("stop", "job-1");
            std::this_thread::sleep_for(150ms);
        }
        return stopped;
    }

    ManualAgent agent_;
};

struct LeaderPartitioned : LeaseRenewal {
    LeaderPartitioned() : LeaseRenewal({30.0, 36.0, true, true}) {}
};

// A former leader must not keep a cancelled task alive. The key-value store refuses the leader,
// which cannot reach its peers either; another controller becomes the leader and confirms a
// cancellation; then the key-value store fails for all controllers, while the agent keeps sending
// heartbeats to the former leader.
TEST_F(LeaderPartitioned, FormerLeaderKeepsNoCancelledTaskAlive) {
    start_leader_and_job();
    controllers_.start(1);
    std::this_thread::sleep_for(1500ms);
    const auto refused_at = Clock::now();
    state_.refuse_at(1, true);

    // No peer has acknowledged the new term, so the former leader may still find a peer that
    // confirms its leadership. The agent has not reported the new fencing token, so the
    // cancellation must not be confirmed.
    auto until = refused_at + 7s;
    while (Clock::now() < until) {
        EXPECT_EQ(cancel_at(1), "");
        send_heartbeats_for(200ms, 0);
    }
    EXPECT_GT(agent_.renewed_at, refused_at) << "the former leader never renewed the lease alone";

    controllers_.start(2);
    send_heartbeats_for(2s, 0);  // the third controller reads the leadership record and may then
                                 // confirm the second as leader
    until = Clock::now() + 15s;
    std::string stage;
    while (stage != "aborted" && Clock::now() < until) {
        stage = cancel_at(1);
        send_heartbeats_for(200ms, 0);
    }
    ASSERT_EQ(stage, "aborted");
    const auto confirmed_at = Clock::now();
    state_.outage(true);
    send_heartbeats_for(max_uninformed_renewal + 3s, 0);
    EXPECT_LT(agent_.renewed_at, confirmed_at + max_uninformed_renewal + 300ms);
    // The leader that confirmed the cancellation renews the lease and also sends the stop command.
    EXPECT_TRUE(send_heartbeats_for(2s, 1)) << "no stop command was received";
}

struct PeersConnected : LeaseRenewal {
    PeersConnected() : LeaseRenewal({30.0, 36.0, true, false}) {}
};

// The leader confirms a cancellation and is then killed during an outage of the key-value store.
// Its peers stop the tasks of the job that it announced as cancelled, and renew the lease for a
// limited time only.
TEST_F(PeersConnected, LossOfTheLeaderInAnOutageLeavesNoCancelledTaskAlive) {
    start_leader_and_job();
    controllers_.start(1);
    controllers_.start(2);
    auto until = Clock::now() + 20s;
    while (agent_.send_heartbeat(base(1)) != 200 && Clock::now() < until)
        std::this_thread::sleep_for(100ms);
    ASSERT_EQ(cancel_at(0), "aborted");
    std::this_thread::sleep_for(2500ms);  // cancellations are announced to peers every second
    state_.outage(true);
    controllers_.kill(0);
    const auto lost_at = Clock::now();
    EXPECT_TRUE(send_heartbeats_for(max_uninformed_renewal + 4s, 1))
        << "no stop command was received";
    EXPECT_GT(agent_.renewed_at, lost_at) << "the peer never renewed the lease alone";
    EXPECT_LT(agent_.renewed_at, lost_at + max_uninformed_renewal + 300ms);
}

// Running tasks survive an outage of the key-value store of any length: peers confirm the
// leadership of the leader and forward heartbeats to it.
TEST_F(PeersConnected, RunningTasksSurviveAnOutage) {
    start_leader_and_job();
    controllers_.start(1);
    controllers_.start(2);
    std::this_thread::sleep_for(2500ms);
    state_.outage(true);
    const auto down_at = Clock::now();
    EXPECT_FALSE(send_heartbeats_for(max_uninformed_renewal + 8s, 0));
    EXPECT_GT(agent_.renewed_at, down_at + max_uninformed_renewal + 7s);
    send_heartbeats_for(2s, 1);
    EXPECT_GT(agent_.renewed_at, down_at + max_uninformed_renewal + 9s);
    state_.outage(false);
}

// Peers that have stored the announcements of the leader for at least cancel_s (8 s here) do not
// need the leader: together they know all cancellations that it confirmed.
struct PeersWithFullHistory : LeaseRenewal {
    PeersWithFullHistory() : LeaseRenewal({3.0, 8.0, true, false}) {}
    void start_and_fill_history() {
        start_leader_and_job();
        controllers_.start(1);
        controllers_.start(2);
        send_heartbeats_for(10s, 0);
    }
};

TEST_F(PeersWithFullHistory, RunningTasksSurviveAnOutageWithoutTheLeader) {
    start_and_fill_history();
    state_.outage(true);
    controllers_.kill(0);
    const auto lost_at = Clock::now();
    EXPECT_FALSE(send_heartbeats_for(max_uninformed_renewal + 8s, 1));
    EXPECT_GT(agent_.renewed_at, lost_at + max_uninformed_renewal + 7s);
    send_heartbeats_for(2s, 2);
    EXPECT_GT(agent_.renewed_at, lost_at + max_uninformed_renewal + 9s);
}

// The leader is lost immediately after it confirmed the cancellation, before the next periodic
// announcement to its peers.
TEST_F(PeersWithFullHistory, PeersStopTheLastCancelledJob) {
    start_and_fill_history();
    ASSERT_EQ(cancel_at(0), "aborted");
    state_.outage(true);
    controllers_.kill(0);
    bool stopped = false;
    for (int i = 1; i < 3; ++i) stopped |= send_heartbeats_for(1500ms, i);
    EXPECT_TRUE(stopped);
}

}  // namespace
}  // namespace bendspindle
