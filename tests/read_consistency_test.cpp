// Read consistency: no answer about a job is older than one that was given before, by whichever
// controller. Three real processes against stand-ins, all of them asked at once, with the key-value
// store slow, silent and late.
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <future>
#include <random>
#include <set>

#include "standin/controllers.hpp"
#include "standin/history.hpp"
#include "standin/services.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle {
namespace {

using namespace std::chrono_literals;
using standin::Told;
using std::chrono::milliseconds;
using wire::Value;

std::string body_of(const std::string& id, core::Kind kind, std::uint32_t tasks = 1) {
    core::JobSpec spec;
    spec.id = id;
    spec.job_class = "c";
    spec.team = "t";
    spec.kind = kind;
    spec.tasks = tasks;
    spec.need = {1, 0, 1};
    spec.image = "img";
    spec.spot = true;
    spec.estimate = core::Seconds(0.5);
    return wire::job_body(spec);
}

struct Response {
    int status = 0;  // 0: none
    std::string stage;
};

Told state_in(const Response& response) {
    if (response.status == 400 || response.status == 404 || response.status == 422)
        return Told::unknown;
    if (response.status != 200 && response.status != 201) return Told::no_state;
    if (response.stage == "done") return Told::done;
    return response.stage == "aborted" ? Told::cancelled : Told::open;
}

class ReadConsistency : public testing::Test {
  protected:
    using Clock = std::chrono::steady_clock;

    explicit ReadConsistency(const standin::Setting& setting = {30.0, 30.0, true, false, 4096})
        : base_(standin::port_base()),
          state_({base_ + 20, base_ + 22, base_ + 23, base_ + 24}),
          controllers_(base_, setting),
          cloud_(base_ + 21, controllers_.ports()) {}

    // The first is the leader.
    void SetUp() override {
        controllers_.start(0);
        ASSERT_TRUE(soon([&] { return leader() == 0; }));
        controllers_.start(1);
        controllers_.start(2);
        // Each knows the machine types and the leader.
        for (int i = 0; i < 3; ++i)
            ASSERT_TRUE(soon([&] {
                return state_in(submit(i, "job-000000", core::Kind::service)) == Told::open;
            }));
        ASSERT_TRUE(cancelled_soon(0, "job-000000"));
        // The event of its end has been watched, and the next is waited for.
        std::this_thread::sleep_for(300ms);
    }
    static bool soon(const std::function<bool()>& what, milliseconds limit = 30s) {
        for (const auto until = Clock::now() + limit; Clock::now() < until;) {
            if (what()) return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }
    // -1: none.
    int leader() {
        const auto key = state_.value("steward").value_or(Value{});
        return key.is_object() ? key["name"].get<std::string>().back() - '0' : -1;
    }

    Response submit(int controller, const std::string& id, core::Kind kind,
                    milliseconds limit = 5s) {
        return call(controller, id, limit, [&](httplib::Client& client) {
            return client.Post("/work", body_of(id, kind), "application/cbor");
        });
    }
    Response ask(int controller, const std::string& id, milliseconds limit = 2s) {
        return call(controller, id, limit,
                    [&](httplib::Client& client) { return client.Get("/work/" + id); });
    }
    Response cancel(int controller, const std::string& id, milliseconds limit = 5s) {
        history_.asked_to_cancel(id, Clock::now());
        return call(controller, id, limit, [&](httplib::Client& client) {
            return client.Post("/work/" + id + "/cancel", std::string(), "application/cbor");
        });
    }
    bool cancelled_soon(int controller, const std::string& id) {
        return soon([&] { return state_in(cancel(controller, id)) == Told::cancelled; });
    }

    int base_;
    standin::StateService state_;
    standin::Controllers controllers_;
    standin::CloudAndWorkers cloud_;
    standin::History history_;

  private:
    Response call(int controller, const std::string& id, milliseconds limit,
                  const std::function<httplib::Result(httplib::Client&)>& request) {
        httplib::Client client("127.0.0.1", base_ + controller);
        client.set_connection_timeout(1s);
        client.set_read_timeout(limit);
        standin::Answer answer{id, controller, Clock::now(), {}, Told::no_state};
        const auto result = request(client);
        answer.end = Clock::now();
        if (!result) return {};
        const auto body = wire::parse_cbor(result->body);
        Response response{result->status,
                          body && body->is_object() ? body->value("stage", "") : std::string()};
        answer.told = state_in(response);
        history_.add(answer);
        return response;
    }
};

// The record was written at once, its answer took a second, and meanwhile the job was cancelled.
TEST_F(ReadConsistency, ALateAdmissionAnswerIsNotOutdated) {
    state_.slow_puts("job/job-000001", 1000ms);
    auto accepted = std::async(std::launch::async,
                               [&] { return submit(1, "job-000001", core::Kind::service); });
    ASSERT_TRUE(soon([&] { return state_in(ask(0, "job-000001")) == Told::open; }));
    ASSERT_TRUE(cancelled_soon(0, "job-000001"));
    ASSERT_EQ(accepted.wait_for(0s), std::future_status::timeout) << "the faults did not coincide";
    EXPECT_EQ(accepted.get().stage, "aborted");
}

// The same where the controller stood still with the answer in hand.
TEST_F(ReadConsistency, AnAdmissionAnswerAfterASuspensionIsNotOutdated) {
    state_.slow_puts("job/job-000001", 300ms);
    auto accepted = std::async(std::launch::async,
                               [&] { return submit(1, "job-000001", core::Kind::service); });
    ASSERT_TRUE(soon([&] { return state_.value("job/job-000001").value_or(Value{}).is_object(); }));
    controllers_.stand_still(1);
    ASSERT_TRUE(cancelled_soon(0, "job-000001"));
    controllers_.go_on(1);
    const auto response = accepted.get();
    EXPECT_TRUE(response.status == 503 || response.stage == "aborted")
        << response.status << " " << response.stage;
}

// A submission is repeated; the read of its record takes a second, and meanwhile it is cancelled.
TEST_F(ReadConsistency, ARecordReadLongAgoIsReadAgain) {
    ASSERT_EQ(submit(1, "job-000001", core::Kind::service).status, 201);
    state_.slow_reads("job/job-000001", 1000ms);
    auto repeated = std::async(std::launch::async,
                               [&] { return submit(2, "job-000001", core::Kind::service); });
    std::this_thread::sleep_for(200ms);
    state_.slow_reads("", 0ms);
    ASSERT_TRUE(cancelled_soon(0, "job-000001"));
    ASSERT_EQ(repeated.wait_for(0s), std::future_status::timeout) << "the faults did not coincide";
    EXPECT_EQ(repeated.get().stage, "aborted");
}

// The leader is suspended past its lease, while it waits for a first record to be written;
// it is asked before it sees that another leads.
TEST_F(ReadConsistency, ALeaderSuspendedPastItsLeaseAnswersNothingOutdated) {
    ASSERT_EQ(submit(0, "job-000002", core::Kind::service).status, 201);
    state_.slow_puts("job/job-000001", 500ms);
    auto accepted = std::async(std::launch::async,
                               [&] { return submit(0, "job-000001", core::Kind::service, 20s); });
    ASSERT_TRUE(soon([&] { return state_.value("job/job-000001").value_or(Value{}).is_object(); }));
    controllers_.stand_still(0);
    ASSERT_TRUE(soon([&] { return leader() > 0; }));
    ASSERT_TRUE(cancelled_soon(leader(), "job-000001"));
    ASSERT_TRUE(cancelled_soon(leader(), "job-000002"));
    controllers_.go_on(0);
    for (int i = 0; i < 20; ++i) ask(0, "job-000002");
    const auto response = accepted.get();
    EXPECT_TRUE(response.status == 503 || response.stage == "aborted")
        << response.status << " " << response.stage;
    EXPECT_EQ(history_.breaches(), std::vector<std::string>{});
}

// The final state is recorded and only the answer is missing: who asks is answered from the record.
TEST_F(ReadConsistency, ATerminalStateBeingCommittedIsAnsweredFromItsRecord) {
    ASSERT_EQ(submit(0, "job-000001", core::Kind::service).status, 201);
    state_.slow_puts("over/job-000001", 1400ms);
    auto cancelled = std::async(std::launch::async, [&] { return cancel(0, "job-000001"); });
    ASSERT_TRUE(
        soon([&] { return state_.value("over/job-000001").value_or(Value{}).is_object(); }));
    for (int i = 0; i < 3; ++i) EXPECT_EQ(ask(i, "job-000001").stage, "aborted") << i;
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(submit(i, "job-000001", core::Kind::service).stage, "aborted") << i;
    EXPECT_EQ(cancelled.wait_for(0s), std::future_status::timeout) << "the faults did not coincide";
    EXPECT_EQ(cancelled.get().stage, "aborted");
    EXPECT_EQ(history_.breaches(), std::vector<std::string>{});
}

struct ReadConsistencyPartitioned : ReadConsistency {
    ReadConsistencyPartitioned() : ReadConsistency({30.0, 30.0, true, true, 4096}) {}
};

// The leader reaches neither the key-value store nor its peers, and users reach it.
TEST_F(ReadConsistencyPartitioned, APartitionedLeaderAnswersNothingOutdated) {
    ASSERT_EQ(submit(0, "job-000001", core::Kind::service).status, 201);
    state_.refuse_at(1, true);
    ASSERT_TRUE(soon([&] { return leader() > 0; }));
    ASSERT_TRUE(cancelled_soon(leader(), "job-000001"));
    for (int i = 0; i < 20; ++i) EXPECT_NE(state_in(ask(0, "job-000001")), Told::open);
    for (int i = 0; i < 5; ++i)
        EXPECT_NE(state_in(submit(0, "job-000001", core::Kind::service)), Told::open);
    EXPECT_EQ(history_.breaches(), std::vector<std::string>{});
}

struct ReadConsistencySmallCache : ReadConsistency {
    ReadConsistencySmallCache() : ReadConsistency({30.0, 30.0, true, false, 1}) {}
};

// The event of an open job reaches the leader three seconds late. Its user has submitted it there
// too, and cancelled it; what is kept at hand of ended jobs has room for one, another one.
TEST_F(ReadConsistencySmallCache, ALateWatchEventRestartsNoEndedJob) {
    state_.slow_watches("job/", 3000ms);
    ASSERT_EQ(submit(1, "job-000001", core::Kind::service).status, 201);
    ASSERT_EQ(submit(0, "job-000001", core::Kind::service).stage, "queued");
    ASSERT_TRUE(cancelled_soon(0, "job-000001"));
    ASSERT_EQ(submit(0, "job-000002", core::Kind::service).status, 201);
    ASSERT_TRUE(cancelled_soon(0, "job-000002"));
    for (const auto until = Clock::now() + 7s; Clock::now() < until;) {
        EXPECT_EQ(ask(0, "job-000001").stage, "aborted");
        ask(0, "job-000002");
        std::this_thread::sleep_for(50ms);
        if (HasFailure()) break;
    }
    EXPECT_EQ(history_.breaches(), std::vector<std::string>{});
}

// Admitted by a follower a moment ago, and cancelled ahead of its event: no need to send the user
// away.
TEST_F(ReadConsistency, ACancellationAheadOfTheWatchEventIsConfirmed) {
    state_.slow_watches("job/", 3000ms);
    ASSERT_EQ(submit(1, "job-000001", core::Kind::service).status, 201);
    EXPECT_EQ(cancel(0, "job-000001").stage, "aborted");
    EXPECT_EQ(ask(2, "job-000001").stage, "aborted");
}

// Users, each with one job after the other, who ask all controllers within milliseconds after each
// event; and what befalls controllers and the state service meanwhile.
class ReadConsistencyUnderFaults : public ReadConsistency {
  protected:
    using Random = std::mt19937;
    static constexpr int users = 8;
    enum class Plan : std::uint8_t { runs, cancelled_at_once, cancelled_at_end, service };

    static int below(Random& random, int most) {
        return std::uniform_int_distribution<>(0, most - 1)(random);
    }
    static core::Kind kind_of(Plan plan) {
        return plan == Plan::service ? core::Kind::service : core::Kind::array;
    }
    // All controllers are asked, and the submission is repeated at one, 0 to 5 ms from now.
    void look(const std::string& id, core::Kind kind, bool cancel_too, Random& random) {
        std::vector<std::thread> askers;
        const auto later = [&](std::function<void()> what) {
            askers.emplace_back([wait = milliseconds(below(random, 6)), what = std::move(what)] {
                std::this_thread::sleep_for(wait);
                what();
            });
        };
        for (int i = 0; i < 3; ++i) later([this, i, &id] { ask(i, id); });
        later([this, i = below(random, 3), &id, kind] { submit(i, id, kind); });
        if (cancel_too) later([this, i = below(random, 3), &id] { cancel(i, id); });
        for (auto& asker : askers) asker.join();
    }
    void use(const std::string& id, Random& random) {
        const auto plan = static_cast<Plan>(below(random, 4));
        const auto kind = kind_of(plan);
        if (!soon([&] { return state_in(submit(below(random, 3), id, kind)) >= Told::open; }))
            return;
        look(id, kind, plan == Plan::cancelled_at_once, random);
        bool cancels = plan == Plan::cancelled_at_once || plan == Plan::service;
        const auto until = Clock::now() + 25s;
        while (!history_.over(id) && Clock::now() < until) {
            std::this_thread::sleep_for(milliseconds(50 + below(random, 150)));
            const auto response =
                cancels ? cancel(below(random, 3), id) : ask(below(random, 3), id);
            // Its half second is nearly over.
            cancels |= plan == Plan::cancelled_at_end && response.stage == "running";
        }
        look(id, kind, false, random);
    }
    // The jobs that a user had accepted, or tried to.
    std::vector<std::string> use_until(Clock::time_point end, unsigned seed, int user) {
        Random random(seed * 100 + static_cast<unsigned>(user));
        std::vector<std::string> ids;
        for (int i = 0; Clock::now() < end; ++i) {
            ids.push_back("job-" + std::to_string(100000 + user * 1000 + i));
            use(ids.back(), random);
        }
        return ids;
    }
    void kill_and_start(int controller) {
        EXPECT_TRUE(controllers_.kill(controller)) << "ended by itself";
        std::this_thread::sleep_for(150ms);
        controllers_.start(controller);
    }
    // About 12 s: the leader is killed and back at once; then an outage and another one
    // killed, or the leader is refused by the key-value store for longer than its lease.
    void befall(unsigned seed) {
        Random random(seed);
        state_.trouble({0.2, 0.1, 1700ms, 3000ms, 0.2, 200ms}, seed);
        std::this_thread::sleep_for(milliseconds(2000 + below(random, 1000)));
        kill_and_start(std::max(leader(), 0));
        std::this_thread::sleep_for(milliseconds(3000 + below(random, 1000)));
        if (seed % 2 == 1) {
            state_.outage(true);
            std::this_thread::sleep_for(milliseconds(500 + below(random, 1000)));
            state_.outage(false);
            std::this_thread::sleep_for(milliseconds(1500 + below(random, 500)));
            kill_and_start(below(random, 3));
            std::this_thread::sleep_for(2500ms);
        } else {
            const auto refused = static_cast<std::size_t>(std::max(leader(), 0)) + 1;
            state_.refuse_at(refused, true);
            std::this_thread::sleep_for(5500ms);
            state_.refuse_at(refused, false);
        }
        state_.trouble({}, seed);
    }
    void play(unsigned seed) {
        const auto end = Clock::now() + 12s;
        std::vector<std::future<std::vector<std::string>>> all;
        for (int user = 0; user < users; ++user)
            all.push_back(
                std::async(std::launch::async, [=, this] { return use_until(end, seed, user); }));
        befall(seed);
        std::size_t jobs = 0;
        for (auto& user : all)
            for (const auto& id : user.get()) {
                ++jobs;
                // Over, whatever befell; known to everybody.
                EXPECT_TRUE(soon([&] { return state_in(ask(0, id)) >= Told::done; })) << id;
                for (int i = 0; i < 3; ++i)
                    EXPECT_TRUE(soon([&] { return state_in(ask(i, id)) >= Told::done; })) << id;
            }
        for (const auto& breach : history_.breaches()) ADD_FAILURE() << breach;
        EXPECT_GE(jobs, static_cast<std::size_t>(users));
        EXPECT_GT(state_.troubled(), 0);
        EXPECT_GT(history_.count(Told::done), 0U);
        EXPECT_GT(history_.count(Told::cancelled), 0U);
        std::cout << jobs << " jobs, " << history_.size() << " answers with a state, "
                  << history_.overtaken() << " of them older than one that overtook them, "
                  << state_.troubled() << " transactions late or unanswered\n";
    }
};

TEST_F(ReadConsistencyUnderFaults, Seed1) {
    play(1);
}

TEST_F(ReadConsistencyUnderFaults, Seed2) {
    play(2);
}

}  // namespace
}  // namespace bendspindle
