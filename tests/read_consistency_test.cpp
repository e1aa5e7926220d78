// Tests of read consistency: no response about a job is older than one that any controller returned
// before. Three controller processes run against stand-ins and are queried at the same time, while
// the key-value store delays or drops requests and responses.
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
    int status = 0;  // 0: no response
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

    // Starts three controllers, of which the first is the leader.
    void SetUp() override {
        controllers_.start(0);
        ASSERT_TRUE(eventually([&] { return leader() == 0; }));
        controllers_.start(1);
        controllers_.start(2);
        // A controller that accepts a job knows the machine types and the leader.
        for (int i = 0; i < 3; ++i)
            ASSERT_TRUE(eventually([&] {
                return state_in(submit(i, "job-000000", core::Kind::service)) == Told::open;
            }));
        ASSERT_TRUE(eventually_cancelled(0, "job-000000"));
        // Lets the watch process the event of the job's end and wait for the next event.
        std::this_thread::sleep_for(300ms);
    }
    // Polls `condition` until it holds. Returns false if it does not within `timeout`.
    static bool eventually(const std::function<bool()>& condition, milliseconds timeout = 30s) {
        for (const auto deadline = Clock::now() + timeout; Clock::now() < deadline;) {
            if (condition()) return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }
    // Returns the number of the leader, or -1 if there is none.
    int leader() {
        const auto key = state_.value("steward").value_or(Value{});
        return key.is_object() ? key["name"].get<std::string>().back() - '0' : -1;
    }

    Response submit(int controller, const std::string& id, core::Kind kind,
                    milliseconds timeout = 5s) {
        return call(controller, id, timeout, [&](httplib::Client& client) {
            return client.Post("/work", body_of(id, kind), "application/cbor");
        });
    }
    Response get_status(int controller, const std::string& id, milliseconds timeout = 2s) {
        return call(controller, id, timeout,
                    [&](httplib::Client& client) { return client.Get("/work/" + id); });
    }
    Response cancel(int controller, const std::string& id, milliseconds timeout = 5s) {
        history_.asked_to_cancel(id, Clock::now());
        return call(controller, id, timeout, [&](httplib::Client& client) {
            return client.Post("/work/" + id + "/cancel", std::string(), "application/cbor");
        });
    }
    bool eventually_cancelled(int controller, const std::string& id) {
        return eventually([&] { return state_in(cancel(controller, id)) == Told::cancelled; });
    }

    int base_;
    standin::StateService state_;
    standin::Controllers controllers_;
    standin::CloudAndWorkers cloud_;
    standin::History history_;

  private:
    Response call(int controller, const std::string& id, milliseconds timeout,
                  const std::function<httplib::Result(httplib::Client&)>& request) {
        httplib::Client client("127.0.0.1", base_ + controller);
        client.set_connection_timeout(1s);
        client.set_read_timeout(timeout);
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

// The record is written at once, but the response takes a second and the job is cancelled
// meanwhile.
TEST_F(ReadConsistency, ALateAdmissionAnswerIsNotOutdated) {
    state_.slow_puts("job/job-000001", 1000ms);
    auto accepted = std::async(std::launch::async,
                               [&] { return submit(1, "job-000001", core::Kind::service); });
    ASSERT_TRUE(eventually([&] { return state_in(get_status(0, "job-000001")) == Told::open; }));
    ASSERT_TRUE(eventually_cancelled(0, "job-000001"));
    ASSERT_EQ(accepted.wait_for(0s), std::future_status::timeout) << "the faults did not coincide";
    EXPECT_EQ(accepted.get().stage, "aborted");
}

// The same, but the controller is suspended between receiving the response and returning its own.
TEST_F(ReadConsistency, AnAdmissionAnswerAfterASuspensionIsNotOutdated) {
    state_.slow_puts("job/job-000001", 300ms);
    auto accepted = std::async(std::launch::async,
                               [&] { return submit(1, "job-000001", core::Kind::service); });
    ASSERT_TRUE(
        eventually([&] { return state_.value("job/job-000001").value_or(Value{}).is_object(); }));
    controllers_.stand_still(1);
    ASSERT_TRUE(eventually_cancelled(0, "job-000001"));
    controllers_.go_on(1);
    const auto response = accepted.get();
    EXPECT_TRUE(response.status == 503 || response.stage == "aborted")
        << response.status << " " << response.stage;
}

// A submission is repeated; the read of the record takes a second and the job is cancelled
// meanwhile.
TEST_F(ReadConsistency, ARecordReadLongAgoIsReadAgain) {
    ASSERT_EQ(submit(1, "job-000001", core::Kind::service).status, 201);
    state_.slow_reads("job/job-000001", 1000ms);
    auto repeated = std::async(std::launch::async,
                               [&] { return submit(2, "job-000001", core::Kind::service); });
    std::this_thread::sleep_for(200ms);
    state_.slow_reads("", 0ms);
    ASSERT_TRUE(eventually_cancelled(0, "job-000001"));
    ASSERT_EQ(repeated.wait_for(0s), std::future_status::timeout) << "the faults did not coincide";
    EXPECT_EQ(repeated.get().stage, "aborted");
}

// The leader is suspended until its lease has expired, while it waits for a first record to be
// written. It gets requests before it detects that another controller leads.
TEST_F(ReadConsistency, ALeaderSuspendedPastItsLeaseAnswersNothingOutdated) {
    ASSERT_EQ(submit(0, "job-000002", core::Kind::service).status, 201);
    state_.slow_puts("job/job-000001", 500ms);
    auto accepted = std::async(std::launch::async,
                               [&] { return submit(0, "job-000001", core::Kind::service, 20s); });
    ASSERT_TRUE(
        eventually([&] { return state_.value("job/job-000001").value_or(Value{}).is_object(); }));
    controllers_.stand_still(0);
    ASSERT_TRUE(eventually([&] { return leader() > 0; }));
    ASSERT_TRUE(eventually_cancelled(leader(), "job-000001"));
    ASSERT_TRUE(eventually_cancelled(leader(), "job-000002"));
    controllers_.go_on(0);
    for (int i = 0; i < 20; ++i) get_status(0, "job-000002");
    const auto response = accepted.get();
    EXPECT_TRUE(response.status == 503 || response.stage == "aborted")
        << response.status << " " << response.stage;
    EXPECT_EQ(history_.breaches(), std::vector<std::string>{});
}

// The terminal state is recorded and only the response of the store is missing: requests are
// answered from the record.
TEST_F(ReadConsistency, ATerminalStateBeingCommittedIsAnsweredFromItsRecord) {
    ASSERT_EQ(submit(0, "job-000001", core::Kind::service).status, 201);
    state_.slow_puts("over/job-000001", 1400ms);
    auto cancelled = std::async(std::launch::async, [&] { return cancel(0, "job-000001"); });
    ASSERT_TRUE(
        eventually([&] { return state_.value("over/job-000001").value_or(Value{}).is_object(); }));
    for (int i = 0; i < 3; ++i) EXPECT_EQ(get_status(i, "job-000001").stage, "aborted") << i;
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(submit(i, "job-000001", core::Kind::service).stage, "aborted") << i;
    EXPECT_EQ(cancelled.wait_for(0s), std::future_status::timeout) << "the faults did not coincide";
    EXPECT_EQ(cancelled.get().stage, "aborted");
    EXPECT_EQ(history_.breaches(), std::vector<std::string>{});
}

struct ReadConsistencyPartitioned : ReadConsistency {
    ReadConsistencyPartitioned() : ReadConsistency({30.0, 30.0, true, true, 4096}) {}
};

// The leader reaches neither the key-value store nor its peers, but users reach the leader.
TEST_F(ReadConsistencyPartitioned, APartitionedLeaderAnswersNothingOutdated) {
    ASSERT_EQ(submit(0, "job-000001", core::Kind::service).status, 201);
    state_.refuse_at(1, true);
    ASSERT_TRUE(eventually([&] { return leader() > 0; }));
    ASSERT_TRUE(eventually_cancelled(leader(), "job-000001"));
    for (int i = 0; i < 20; ++i) EXPECT_NE(state_in(get_status(0, "job-000001")), Told::open);
    for (int i = 0; i < 5; ++i)
        EXPECT_NE(state_in(submit(0, "job-000001", core::Kind::service)), Told::open);
    EXPECT_EQ(history_.breaches(), std::vector<std::string>{});
}

struct ReadConsistencySmallCache : ReadConsistency {
    ReadConsistencySmallCache() : ReadConsistency({30.0, 30.0, true, false, 1}) {}
};

// The watch event of an open job reaches the leader three seconds late. The user has also submitted
// the job to the leader and cancelled it there; the cache of terminal states holds one job, and by
// then another one.
TEST_F(ReadConsistencySmallCache, ALateWatchEventRestartsNoEndedJob) {
    state_.slow_watches("job/", 3000ms);
    ASSERT_EQ(submit(1, "job-000001", core::Kind::service).status, 201);
    ASSERT_EQ(submit(0, "job-000001", core::Kind::service).stage, "queued");
    ASSERT_TRUE(eventually_cancelled(0, "job-000001"));
    ASSERT_EQ(submit(0, "job-000002", core::Kind::service).status, 201);
    ASSERT_TRUE(eventually_cancelled(0, "job-000002"));
    for (const auto until = Clock::now() + 7s; Clock::now() < until;) {
        EXPECT_EQ(get_status(0, "job-000001").stage, "aborted");
        get_status(0, "job-000002");
        std::this_thread::sleep_for(50ms);
        if (HasFailure()) break;
    }
    EXPECT_EQ(history_.breaches(), std::vector<std::string>{});
}

// A job that a follower has just admitted is cancelled before its watch event arrives. The leader
// confirms the cancellation instead of returning an error.
TEST_F(ReadConsistency, ACancellationAheadOfTheWatchEventIsConfirmed) {
    state_.slow_watches("job/", 3000ms);
    ASSERT_EQ(submit(1, "job-000001", core::Kind::service).status, 201);
    EXPECT_EQ(cancel(0, "job-000001").stage, "aborted");
    EXPECT_EQ(get_status(2, "job-000001").stage, "aborted");
}

// Users run one job after another and query all controllers within milliseconds after each event,
// while faults of the controllers and of the state service are injected.
class ReadConsistencyUnderFaults : public ReadConsistency {
  protected:
    using Random = std::mt19937;
    static constexpr int users = 8;
    enum class Plan : std::uint8_t { runs, cancelled_at_once, cancelled_at_end, service };

    static int random_below(Random& random, int bound) {
        return std::uniform_int_distribution<>(0, bound - 1)(random);
    }
    static core::Kind kind_of(Plan plan) {
        return plan == Plan::service ? core::Kind::service : core::Kind::array;
    }
    // Queries all controllers and repeats the submission at one of them, each 0 to 5 ms from now.
    void query_all_controllers(const std::string& id, core::Kind kind, bool cancel_too,
                               Random& random) {
        std::vector<std::thread> clients;
        const auto after_random_delay = [&](std::function<void()> request) {
            clients.emplace_back(
                [delay = milliseconds(random_below(random, 6)), request = std::move(request)] {
                    std::this_thread::sleep_for(delay);
                    request();
                });
        };
        for (int i = 0; i < 3; ++i) after_random_delay([this, i, &id] { get_status(i, id); });
        after_random_delay([this, i = random_below(random, 3), &id, kind] { submit(i, id, kind); });
        if (cancel_too)
            after_random_delay([this, i = random_below(random, 3), &id] { cancel(i, id); });
        for (auto& client : clients) client.join();
    }
    // Submits a job and queries or cancels it until it has ended.
    void run_job(const std::string& id, Random& random) {
        const auto plan = static_cast<Plan>(random_below(random, 4));
        const auto kind = kind_of(plan);
        if (!eventually(
                [&] { return state_in(submit(random_below(random, 3), id, kind)) >= Told::open; }))
            return;
        query_all_controllers(id, kind, plan == Plan::cancelled_at_once, random);
        bool cancels = plan == Plan::cancelled_at_once || plan == Plan::service;
        const auto deadline = Clock::now() + 25s;
        while (!history_.over(id) && Clock::now() < deadline) {
            std::this_thread::sleep_for(milliseconds(50 + random_below(random, 150)));
            const auto response = cancels ? cancel(random_below(random, 3), id)
                                          : get_status(random_below(random, 3), id);
            // A running task ends within half a second.
            cancels |= plan == Plan::cancelled_at_end && response.stage == "running";
        }
        query_all_controllers(id, kind, false, random);
    }
    // Runs jobs of one user until `end`. Returns the ids of all submitted jobs, accepted or not.
    std::vector<std::string> run_jobs_until(Clock::time_point end, unsigned seed, int user) {
        Random random(seed * 100 + static_cast<unsigned>(user));
        std::vector<std::string> ids;
        for (int i = 0; Clock::now() < end; ++i) {
            ids.push_back("job-" + std::to_string(100000 + user * 1000 + i));
            run_job(ids.back(), random);
        }
        return ids;
    }
    void kill_and_restart(int controller) {
        EXPECT_TRUE(controllers_.kill(controller)) << "ended by itself";
        std::this_thread::sleep_for(150ms);
        controllers_.start(controller);
    }
    // Takes about 12 s. The leader is killed and restarted at once. Then, depending on the seed,
    // there is an outage of the key-value store and a controller is killed, or the store refuses
    // the leader's requests for longer than its lease.
    void inject_faults(unsigned seed) {
        Random random(seed);
        state_.trouble({0.2, 0.1, 1700ms, 3000ms, 0.2, 200ms}, seed);
        std::this_thread::sleep_for(milliseconds(2000 + random_below(random, 1000)));
        kill_and_restart(std::max(leader(), 0));
        std::this_thread::sleep_for(milliseconds(3000 + random_below(random, 1000)));
        if (seed % 2 == 1) {
            state_.outage(true);
            std::this_thread::sleep_for(milliseconds(500 + random_below(random, 1000)));
            state_.outage(false);
            std::this_thread::sleep_for(milliseconds(1500 + random_below(random, 500)));
            kill_and_restart(random_below(random, 3));
            std::this_thread::sleep_for(2500ms);
        } else {
            const auto refused = static_cast<std::size_t>(std::max(leader(), 0)) + 1;
            state_.refuse_at(refused, true);
            std::this_thread::sleep_for(5500ms);
            state_.refuse_at(refused, false);
        }
        state_.trouble({}, seed);
    }
    void run_with_faults(unsigned seed) {
        const auto end = Clock::now() + 12s;
        std::vector<std::future<std::vector<std::string>>> job_ids;
        for (int user = 0; user < users; ++user)
            job_ids.push_back(std::async(std::launch::async,
                                         [=, this] { return run_jobs_until(end, seed, user); }));
        inject_faults(seed);
        std::size_t jobs = 0;
        for (auto& user : job_ids)
            for (const auto& id : user.get()) {
                ++jobs;
                // Every job ends despite the faults, and every controller knows its end.
                EXPECT_TRUE(eventually([&] { return state_in(get_status(0, id)) >= Told::done; }))
                    << id;
                for (int i = 0; i < 3; ++i)
                    EXPECT_TRUE(eventually([&] {
                        return state_in(get_status(i, id)) >= Told::done;
                    })) << id;
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
    run_with_faults(1);
}

TEST_F(ReadConsistencyUnderFaults, Seed2) {
    run_with_faults(2);
}

}  // namespace
}  // namespace bendspindle
