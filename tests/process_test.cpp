// Three real processes on loopback against the stand-ins: answers, a kill, a restart of all.
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

// One worker, moved by hand: it says where it reports, and hears no direct call.
class Worker {
  public:
    Worker() {
        report_.machine = "n-by-hand";
        report_.type = "m4";
        report_.zone = "a";
        report_.agent_epoch = 1;
    }
    // The status; 0: no answer. Orders of an accepted answer are kept in `orders`.
    int report_to(int port) {
        ++report_.sequence;
        httplib::Client client("127.0.0.1", port);
        client.set_connection_timeout(1s);
        client.set_read_timeout(4s);
        const auto result =
            client.Post("/checkin", wire::heartbeat_body(report_), "application/cbor");
        if (!result) return 0;
        const auto body = wire::parse_cbor(result->body);
        if (result->status != 200 || !body) return result->status;
        if (const auto fencing_token = (*body)["baton"].get<std::uint64_t>();
            fencing_token >= report_.fencing_token) {
            report_.fencing_token = fencing_token;
            commands = (*body)["orders"];
            renewed_at = std::chrono::steady_clock::now();
        }
        return 200;
    }
    bool ordered(const std::string& verb, const std::string& job) const {
        return std::any_of(commands.begin(), commands.end(), [&](const Value& command) {
            return command["verb"] == verb &&
                   command["piece"].get<std::string>().starts_with(job + "/");
        });
    }
    // Carries out starts only: what stops it is what the tests look for.
    void start_what_is_ordered(const std::string& job) {
        for (const auto& command : commands) {
            const auto piece = command["piece"].get<std::string>();
            if (command["verb"] != "start" || !piece.starts_with(job + "/")) continue;
            report_.tasks.push_back(
                {job, static_cast<std::uint32_t>(std::stoul(piece.substr(piece.rfind('/') + 1))),
                 command["try"].get<std::uint64_t>(), core::TaskState::running,
                 core::ExitCause::none, false});
        }
    }

    Value commands = Value::array();
    std::chrono::steady_clock::time_point renewed_at{};

  private:
    core::Heartbeat report_;
};

// A worker's lease may be renewed without knowledge for cancel_s - lease_s - 2 s, at least 4 s.
class Meetings : public Processes {
  protected:
    static constexpr auto bound = 4s;
    using Clock = std::chrono::steady_clock;

    explicit Meetings(const Setting& setting) : Processes(setting) {}
    int base(int i) const { return base_ + i; }
    // The first acts and the worker runs a service; its user may cancel it.
    void begin() {
        cloud_.list("n-by-hand");
        controllers_.start(0);
        const auto until = Clock::now() + 30s;
        while (worker_.report_to(base(0)) != 200 && Clock::now() < until)
            std::this_thread::sleep_for(100ms);
        // Recorded by now, so that the job goes there and nothing is rented.
        std::this_thread::sleep_for(1s);
        ASSERT_EQ(worker_.report_to(base(0)), 200);
        httplib::Client client("127.0.0.1", base(0));
        client.set_read_timeout(6s);
        const auto result =
            client.Post("/work", job("job-1", core::Kind::service, false), "application/cbor");
        ASSERT_TRUE(result);
        ASSERT_EQ(result->status, 201);
        while (!worker_.ordered("start", "job-1") && Clock::now() < until) {
            std::this_thread::sleep_for(100ms);
            worker_.report_to(base(0));
        }
        worker_.start_what_is_ordered("job-1");
        ASSERT_EQ(worker_.report_to(base(0)), 200);
    }
    // The state that one controller gives as the answer to a cancellation; empty: none.
    std::string cancel_at(int i) {
        httplib::Client client("127.0.0.1", base(i));
        client.set_read_timeout(6s);
        const auto result = client.Post("/work/job-1/cancel", std::string(), "application/cbor");
        if (!result || result->status != 200) return {};
        return wire::parse_cbor(result->body)->value("stage", "");
    }
    // Reports to one controller all the time; true if it ordered a stop.
    bool report_for(std::chrono::milliseconds time, int i) {
        bool stopped = false;
        for (const auto until = Clock::now() + time; Clock::now() < until;) {
            if (worker_.report_to(base(i)) == 200) stopped |= worker_.ordered("stop", "job-1");
            std::this_thread::sleep_for(150ms);
        }
        return stopped;
    }

    Worker worker_;
};

struct Cut : Meetings {
    Cut() : Meetings({30.0, 36.0, true, true}) {}
};

// The gap: the state service refuses the one that acts, which hears none of its peers either;
// another takes the role and confirms a cancellation; then the state service is down for all while
// the worker goes on reporting to the former one.
TEST_F(Cut, AFormerControllerKeepsNoCancelledTaskAlive) {
    begin();
    controllers_.start(1);
    std::this_thread::sleep_for(1500ms);
    const auto refused_at = Clock::now();
    state_.refuse_at(1, true);

    // Nobody has acknowledged the new term: the former one may find somebody who vouches for it.
    // The worker has not shown the new token, so the cancellation must not be confirmed.
    auto until = refused_at + 7s;
    while (Clock::now() < until) {
        EXPECT_EQ(cancel_at(1), "");
        report_for(200ms, 0);
    }
    EXPECT_GT(worker_.renewed_at, refused_at) << "the former controller never renewed alone";

    controllers_.start(2);
    report_for(2s, 0);  // the third reads the view meanwhile, and may vouch for the second
    until = Clock::now() + 15s;
    std::string stage;
    while (stage != "aborted" && Clock::now() < until) {
        stage = cancel_at(1);
        report_for(200ms, 0);
    }
    ASSERT_EQ(stage, "aborted");
    const auto confirmed_at = Clock::now();
    state_.outage(true);
    report_for(bound + 3s, 0);
    EXPECT_LT(worker_.renewed_at, confirmed_at + bound + 300ms);
    // The one that confirmed knows: what it renews it also stops.
    EXPECT_TRUE(report_for(2s, 1)) << "no stop came";
}

struct Together : Meetings {
    Together() : Meetings({30.0, 36.0, true, false}) {}
};

// The one that acts confirms a cancellation and ends at once, in an outage that lasts: its peers
// stop what it told them of, and renew for a bounded time only.
TEST_F(Together, ALeaderLostInAnOutageLeavesNoCancelledTaskAlive) {
    begin();
    controllers_.start(1);
    controllers_.start(2);
    auto until = Clock::now() + 20s;
    while (worker_.report_to(base(1)) != 200 && Clock::now() < until)
        std::this_thread::sleep_for(100ms);
    ASSERT_EQ(cancel_at(0), "aborted");
    std::this_thread::sleep_for(2500ms);  // the word goes round each second
    state_.outage(true);
    controllers_.kill(0);
    const auto lost_at = Clock::now();
    EXPECT_TRUE(report_for(bound + 4s, 1)) << "no stop came";
    EXPECT_GT(worker_.renewed_at, lost_at) << "the sibling never renewed alone";
    EXPECT_LT(worker_.renewed_at, lost_at + bound + 300ms);
}

// In an outage for all, running work goes on as long as it lasts: peers vouch for the one that
// acts, and hand on what reaches them.
TEST_F(Together, RunningWorkOutlivesAnOutage) {
    begin();
    controllers_.start(1);
    controllers_.start(2);
    std::this_thread::sleep_for(2500ms);
    state_.outage(true);
    const auto down_at = Clock::now();
    EXPECT_FALSE(report_for(bound + 8s, 0));
    EXPECT_GT(worker_.renewed_at, down_at + bound + 7s);
    report_for(2s, 1);
    EXPECT_GT(worker_.renewed_at, down_at + bound + 9s);
    state_.outage(false);
}

// Siblings that have remembered for as long as a cancellation has (8 s here) need no word of the
// one that acted: they know together what it confirmed.
struct Remembering : Meetings {
    Remembering() : Meetings({3.0, 8.0, true, false}) {}
    void begin_and_remember() {
        begin();
        controllers_.start(1);
        controllers_.start(2);
        report_for(10s, 0);
    }
};

TEST_F(Remembering, RunningWorkOutlivesAnOutageWithItsLeaderLost) {
    begin_and_remember();
    state_.outage(true);
    controllers_.kill(0);
    const auto lost_at = Clock::now();
    EXPECT_FALSE(report_for(bound + 8s, 1));
    EXPECT_GT(worker_.renewed_at, lost_at + bound + 7s);
    report_for(2s, 2);
    EXPECT_GT(worker_.renewed_at, lost_at + bound + 9s);
}

// Lost in the very moment in which it confirmed, before any round of words.
TEST_F(Remembering, SiblingsStopWhatWasCancelledLast) {
    begin_and_remember();
    ASSERT_EQ(cancel_at(0), "aborted");
    state_.outage(true);
    controllers_.kill(0);
    bool stopped = false;
    for (int i = 1; i < 3; ++i) stopped |= report_for(1500ms, i);
    EXPECT_TRUE(stopped);
}

}  // namespace
}  // namespace bendspindle
