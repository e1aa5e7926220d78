// Tests of the state writer and of job admission against a stand-in for the key-value store, which
// rejects some records as malformed.
#include "state/state_writer.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "core/model/fencing_token.hpp"
#include "standin/services.hpp"
#include "state/http_key_value_store.hpp"
#include "state/job_admission.hpp"
#include "wire/records.hpp"

namespace bendspindle::state {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr config::StateLimits limits{500, 500, 32, 12};

core::JobSpec job(const std::string& id) {
    core::JobSpec spec;
    spec.id = id;
    spec.team = "red";
    spec.need = {1, 0, 1};
    return spec;
}

// The objects that the writing threads use. They live until the process ends, as in the service.
struct WriterFixture {
    explicit WriterFixture(int port) : service(port), store({"127.0.0.1", port}) {}
    standin::StateService service;
    HttpKeyValueStore store;
    LeaderState leader_state;
    TerminalStateCache terminal_states{100};
    StateWriter writer{leader_state, store, terminal_states, limits};
    JobAdmission admission{store, limits};
};

WriterFixture& writer_fixture() {
    static auto* instance = [] {
        auto* created = new WriterFixture(21000 + static_cast<int>(::getpid() % 1000));
        std::thread([created] { created->writer.run(); }).detach();
        std::thread([created] { created->admission.run(); }).detach();
        return created;
    }();
    return *instance;
}

// Guards against blocked writes: one record that the service rejected as malformed kept all others
// from ever being written.
TEST(StateWriter, WritesTheOthersWhenOneIsCalledMalformed) {
    auto& fixture = writer_fixture();
    fixture.service.refuse("job/job-2");
    const auto lease = fixture.store.grant_lease(60s);
    ASSERT_TRUE(lease);
    const auto leader =
        fixture.store.compare_and_swap({}, {{keys::leader, wire::Value{{"name", "a"}}, lease}});
    {
        auto access = fixture.leader_state.lock();
        core::Config config;
        config.zones = {"a"};
        config.teams = {{"red", {}, {}}};
        access.install(std::make_unique<core::Controller>(config, 1), leader.revision);
        for (const auto* id : {"job-1", "job-2", "job-3", "job-4"})
            access.controller()->accept(job(id), core::WallTime{}, Clock::now());
        access.request_write();
    }
    auto access = fixture.leader_state.lock();
    const bool written = access.wait_for_commit(10s, [&] {
        return access.controller()->durable("job-1") && access.controller()->durable("job-3") &&
               access.controller()->durable("job-4");
    });
    EXPECT_TRUE(written);
    // Guards against 503 without end: a job whose record is refused for good is not kept.
    EXPECT_TRUE(access.wait_for_commit(10s, [&] { return !access.controller()->knows("job-2"); }));
    EXPECT_TRUE(access.controller()->was_refused("job-2"));
    access.remove_controller();
}

// Guards against a job that is called malformed although it may be recorded: the first transaction
// got no response, and the repeated one is refused.
TEST(StateWriter, KeepsAJobWhoseFirstWriteHasAnUnknownOutcome) {
    auto& fixture = writer_fixture();
    const auto lease = fixture.store.grant_lease(60s);
    ASSERT_TRUE(lease);
    const auto leader =
        fixture.store.compare_and_swap({}, {{keys::leader, wire::Value{{"name", "a"}}, lease}});
    fixture.service.hold({4000ms});
    auto access = fixture.leader_state.lock();
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    access.install(std::make_unique<core::Controller>(config, 6), leader.revision);
    access.controller()->accept(job("job-12"), core::WallTime{}, Clock::now());
    access.request_write();
    access.unlock();
    std::this_thread::sleep_for(500ms);
    fixture.service.refuse("job/job-12");
    std::this_thread::sleep_for(3s);
    access.relock();
    EXPECT_TRUE(access.controller()->knows("job-12"));
    fixture.service.refuse("");
    access.remove_controller();
}

// Guards against went_back: a terminal state was committed late, by a write that got no response.
// Controllers that read the record returned it, while the leader still returned "running" or
// "queued".
TEST(StateWriter, ALateTerminalStateIsNotFollowedByAnOlderState) {
    auto& fixture = writer_fixture();
    const auto lease = fixture.store.grant_lease(60s);
    ASSERT_TRUE(lease);
    const auto leader =
        fixture.store.compare_and_swap({}, {{keys::leader, wire::Value{{"name", "a"}}, lease}});
    auto access = fixture.leader_state.lock();
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    access.install(std::make_unique<core::Controller>(config, 2), leader.revision);
    access.controller()->accept(job("job-8"), core::WallTime{}, Clock::now());
    access.request_write();
    ASSERT_TRUE(access.wait_for_commit(10s, [&] { return access.controller()->durable("job-8"); }));

    // The first transaction is executed while the writer waits for the second one, its repeat.
    fixture.service.hold({2200ms, 4000ms});
    access.controller()->cancel("job-8", Clock::now());
    access.request_write();
    int read_as_ended = 0;
    core::TerminalState answered = core::TerminalState::none;
    for (const auto until = Clock::now() + 15s; Clock::now() < until;) {
        access.unlock();
        const bool ended = fixture.store.get(keys::ended_job("job-8")).outcome == StoreStatus::ok;
        std::this_thread::sleep_for(20ms);
        access.relock();
        const auto status = access.controller()->status("job-8");
        answered = fixture.terminal_states.get("job-8").value_or(core::TerminalState::none);
        if (answered == core::TerminalState::cancelled) break;
        if (!ended) continue;
        ++read_as_ended;
        EXPECT_FALSE(status && status->terminal_state == core::TerminalState::none);
    }
    EXPECT_GT(read_as_ended, 0) << "the faults did not coincide";
    EXPECT_EQ(answered, core::TerminalState::cancelled);
    access.remove_controller();
}

// A refused write was not executed: the former state still holds and is returned.
TEST(StateWriter, ARejectedTerminalStateLeavesTheFormerState) {
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    core::Controller controller(config, 3);
    controller.accept(job("job-9"), core::WallTime{}, Clock::now());
    controller.mark_committed(controller.due_writes(8, Clock::now()), 5, Clock::now());
    ASSERT_TRUE(controller.status("job-9"));
    controller.cancel("job-9", Clock::now());
    const auto first = controller.mark_sent(controller.due_writes(8, Clock::now()));
    EXPECT_FALSE(controller.status("job-9"));
    controller.mark_rejected(first);
    ASSERT_TRUE(controller.status("job-9"));
    // If an earlier attempt got no response, the refusal of its repeat proves nothing.
    controller.mark_sent(controller.due_writes(8, Clock::now()));
    controller.mark_rejected(controller.mark_sent(controller.due_writes(8, Clock::now())));
    EXPECT_FALSE(controller.status("job-9"));
    controller.mark_committed(controller.due_writes(8, Clock::now()), 6, Clock::now());
    EXPECT_FALSE(controller.knows("job-9"));
}

// Guards against went_back: the leader held a job as cancelled whose record said that it was done;
// the leader returned "cancelled" and all other controllers returned "done".
TEST(StateWriter, TheTerminalRecordDecides) {
    auto& fixture = writer_fixture();
    const auto lease = fixture.store.grant_lease(60s);
    ASSERT_TRUE(lease);
    const auto leader =
        fixture.store.compare_and_swap({}, {{keys::leader, wire::Value{{"name", "a"}}, lease}});
    core::JobRecord record;
    record.spec = job("job-10");
    record.spec.kind = core::Kind::service;
    record.last_attempt = 7;
    record.home = "a";
    const auto put = fixture.store.compare_and_swap(
        {}, {{keys::job("job-10"), wire::job_record(record), std::nullopt}});
    auto access = fixture.leader_state.lock();
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    auto controller = std::make_unique<core::Controller>(config, 4);
    core::MachineType type;
    type.name = "g8";
    type.size = {8, 0, 64};
    type.zones = {"a"};
    controller->set_types({type});
    controller->load_job(record, put.revision, Clock::now());
    core::Heartbeat heartbeat;
    heartbeat.machine = "m1";
    heartbeat.address = "10.0.0.1:9000";
    heartbeat.type = "g8";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = heartbeat.sequence = 1;
    heartbeat.fencing_token = core::fencing_token(4);
    heartbeat.tasks.push_back(
        {"job-10", 0, 7, core::TaskState::running, core::ExitCause::none, false});
    controller->heartbeat(heartbeat, Clock::now());
    ASSERT_EQ(controller->status("job-10")->running, 1U);
    access.install(std::move(controller), leader.revision);
    const wire::Value terminal{{"final", "done"}};
    fixture.store.compare_and_swap(
        {}, {{keys::job("job-10"), std::nullopt, {}}, {keys::ended_job("job-10"), terminal, {}}});
    access.controller()->cancel("job-10", Clock::now());
    access.request_write();
    ASSERT_TRUE(access.wait_for_commit(
        10s, [&] { return fixture.terminal_states.get("job-10").has_value(); }));
    EXPECT_EQ(fixture.terminal_states.get("job-10"), core::TerminalState::done);
    // The job's task still runs, so the controller still knows the job.
    const auto status = access.controller()->status("job-10");
    ASSERT_TRUE(status);
    EXPECT_EQ(status->terminal_state, core::TerminalState::done);
    access.remove_controller();
}

// Guards against running the wrong job: if an id is submitted with two bodies to two controllers,
// the job is the one that was accepted first. The other one ran under that id.
TEST(StateWriter, AnIdSubmittedWithTwoBodiesIsTheOneRecordedFirst) {
    auto& fixture = writer_fixture();
    const auto lease = fixture.store.grant_lease(60s);
    ASSERT_TRUE(lease);
    const auto leader =
        fixture.store.compare_and_swap({}, {{keys::leader, wire::Value{{"name", "a"}}, lease}});
    core::JobRecord first;
    first.spec = job("job-11");
    ASSERT_EQ(fixture.admission.admit(first).outcome, JobAdmission::Result::admitted);
    auto access = fixture.leader_state.lock();
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    access.install(std::make_unique<core::Controller>(config, 5), leader.revision);
    auto second = job("job-11");
    second.tasks = 9;
    access.controller()->accept(second, core::WallTime{}, Clock::now());
    access.request_write();
    ASSERT_TRUE(
        access.wait_for_commit(10s, [&] { return access.controller()->durable("job-11"); }));
    EXPECT_TRUE(access.controller()->found_existing_record("job-11"));
    ASSERT_EQ(access.controller()->jobs().size(), 1U);
    EXPECT_EQ(access.controller()->jobs().begin()->second->spec.tasks, first.spec.tasks);
    access.remove_controller();
}

// Guards against failed admissions: one record that the service rejects as malformed must not keep
// the others from being admitted.
TEST(JobAdmission, AdmitsTheOthersWhenOneIsCalledMalformed) {
    auto& fixture = writer_fixture();
    fixture.service.refuse("job/job-6");
    std::vector<std::thread> users;
    std::map<std::string, JobAdmission::Result> outcomes;
    std::mutex mutex;
    for (const auto* id : {"job-5", "job-6", "job-7"})
        users.emplace_back([&, id] {
            core::JobRecord record;
            record.spec = job(id);
            const auto outcome = fixture.admission.admit(record).outcome;
            const std::lock_guard lock(mutex);
            outcomes[id] = outcome;
        });
    for (auto& user : users) user.join();
    EXPECT_EQ(outcomes["job-5"], JobAdmission::Result::admitted);
    EXPECT_EQ(outcomes["job-6"], JobAdmission::Result::refused);
    EXPECT_EQ(outcomes["job-7"], JobAdmission::Result::admitted);
}

// Guards against a job that is called malformed although it may be recorded, as in StateWriter.
TEST(JobAdmission, DoesNotRefuseAJobWhoseFirstWriteHasAnUnknownOutcome) {
    auto& fixture = writer_fixture();
    fixture.service.hold({4000ms});
    JobAdmission::Answer answer;
    std::thread user([&] {
        core::JobRecord record;
        record.spec = job("job-13");
        answer = fixture.admission.admit(record);
    });
    std::this_thread::sleep_for(500ms);
    fixture.service.refuse("job/job-13");
    user.join();
    EXPECT_EQ(answer.outcome, JobAdmission::Result::failed);
    fixture.service.refuse("");
}

// Guards against refused transactions: job admission took every record for one of 2 KiB, and a few
// with long lists of machine types made a transaction larger than the service accepts.
TEST(JobAdmission, AdmitsLongRecordsInTransactionsOfLimitedSize) {
    auto& fixture = writer_fixture();
    constexpr config::StateLimits many_operations{500, 500, 32, 48};
    static auto* admission = new JobAdmission(fixture.store, many_operations);
    std::thread([] { admission->run(); }).detach();
    const auto oversized_before = fixture.service.oversized_transactions();
    std::vector<std::thread> users;
    std::atomic<int> admitted{0};
    constexpr int count = 48;
    for (int i = 0; i < count; ++i)
        users.emplace_back([&, i] {
            core::JobRecord record;
            record.spec = job("job-long-" + std::to_string(i));
            record.spec.types = std::vector<std::string>(20, std::string(200, 'x'));
            if (admission->admit(record).outcome == JobAdmission::Result::admitted) ++admitted;
        });
    for (auto& user : users) user.join();
    EXPECT_EQ(admitted, count);
    EXPECT_EQ(fixture.service.oversized_transactions(), oversized_before);
}

}  // namespace
}  // namespace bendspindle::state
