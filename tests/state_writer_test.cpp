// Writing records, against a stand-in of the key-value store that calls some of them malformed.
#include "state/state_writer.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <thread>

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

// What a writing thread uses lives as long as the process, as in the service.
struct Writing {
    explicit Writing(int port) : service(port), store({"127.0.0.1", port}) {}
    standin::StateService service;
    HttpKeyValueStore store;
    LeaderState leader_state;
    TerminalStateCache terminal_states{100};
    StateWriter writer{leader_state, store, terminal_states, limits};
    JobAdmission admission{store, limits};
};

Writing& writing() {
    static auto* all = [] {
        auto* made = new Writing(21000 + static_cast<int>(::getpid() % 1000));
        std::thread([made] { made->writer.run(); }).detach();
        std::thread([made] { made->admission.run(); }).detach();
        return made;
    }();
    return *all;
}

// Guard: one record that the service calls malformed kept all others from being written, for ever.
TEST(StateWriter, WritesTheOthersWhenOneIsCalledMalformed) {
    auto& w = writing();
    w.service.refuse("job/job-2");
    const auto lease = w.store.grant_lease(60s);
    ASSERT_TRUE(lease);
    const auto leader =
        w.store.compare_and_swap({}, {{keys::leader, wire::Value{{"name", "a"}}, lease}});
    {
        auto access = w.leader_state.lock();
        core::Config config;
        config.zones = {"a"};
        config.teams = {{"red", {}, {}}};
        access.install(std::make_unique<core::Controller>(config, 1), leader.revision);
        for (const auto* id : {"job-1", "job-2", "job-3", "job-4"})
            access.controller()->accept(job(id), core::WallTime{}, Clock::now());
        access.request_write();
    }
    auto access = w.leader_state.lock();
    const bool written = access.wait_for_commit(10s, [&] {
        return access.controller()->durable("job-1") && access.controller()->durable("job-3") &&
               access.controller()->durable("job-4");
    });
    EXPECT_TRUE(written);
    EXPECT_FALSE(access.controller()->durable("job-2"));
    access.remove_controller();
}

// Guard against went_back: the terminal state was recorded late, behind a write that got no answer;
// who read the record answered so, and the leader went on answering "running" or "queued".
TEST(StateWriter, ALateTerminalStateIsNotFollowedByAnOlderState) {
    auto& w = writing();
    const auto lease = w.store.grant_lease(60s);
    ASSERT_TRUE(lease);
    const auto leader =
        w.store.compare_and_swap({}, {{keys::leader, wire::Value{{"name", "a"}}, lease}});
    auto access = w.leader_state.lock();
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    access.install(std::make_unique<core::Controller>(config, 2), leader.revision);
    access.controller()->accept(job("job-8"), core::WallTime{}, Clock::now());
    access.request_write();
    ASSERT_TRUE(access.wait_for_commit(10s, [&] { return access.controller()->durable("job-8"); }));

    // The first is carried out while the second, its repeat, is waited for.
    w.service.hold({2200ms, 4000ms});
    access.controller()->cancel("job-8", Clock::now());
    access.request_write();
    int read_as_ended = 0;
    core::TerminalState answered = core::TerminalState::none;
    for (const auto until = Clock::now() + 15s; Clock::now() < until;) {
        access.unlock();
        const bool over = w.store.get(keys::over("job-8")).outcome == StoreStatus::ok;
        std::this_thread::sleep_for(20ms);
        access.relock();
        const auto status = access.controller()->status("job-8");
        answered = w.terminal_states.get("job-8").value_or(core::TerminalState::none);
        if (answered == core::TerminalState::cancelled) break;
        if (!over) continue;
        ++read_as_ended;
        EXPECT_FALSE(status && status->terminal_state == core::TerminalState::none);
    }
    EXPECT_GT(read_as_ended, 0) << "the faults did not coincide";
    EXPECT_EQ(answered, core::TerminalState::cancelled);
    access.remove_controller();
}

// What was refused was not carried out: the state before holds and is answered.
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
    // After one that got no answer a refused repeat proves nothing.
    controller.mark_sent(controller.due_writes(8, Clock::now()));
    controller.mark_rejected(controller.mark_sent(controller.due_writes(8, Clock::now())));
    EXPECT_FALSE(controller.status("job-9"));
    controller.mark_committed(controller.due_writes(8, Clock::now()), 6, Clock::now());
    EXPECT_FALSE(controller.knows("job-9"));
}

// Guard against went_back: a job held as cancelled whose record says that it is done was answered
// as cancelled here, and as done by everybody else.
TEST(StateWriter, TheTerminalRecordDecides) {
    auto& w = writing();
    const auto lease = w.store.grant_lease(60s);
    ASSERT_TRUE(lease);
    const auto leader =
        w.store.compare_and_swap({}, {{keys::leader, wire::Value{{"name", "a"}}, lease}});
    core::JobRecord record;
    record.spec = job("job-10");
    record.spec.kind = core::Kind::service;
    record.last_attempt = 7;
    record.home = "a";
    const auto put = w.store.compare_and_swap(
        {}, {{keys::job("job-10"), wire::job_record(record), std::nullopt}});
    auto access = w.leader_state.lock();
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
    heartbeat.fencing_token = 4;
    heartbeat.tasks.push_back(
        {"job-10", 0, 7, core::TaskState::running, core::ExitCause::none, false});
    controller->heartbeat(heartbeat, Clock::now());
    ASSERT_EQ(controller->status("job-10")->running, 1U);
    access.install(std::move(controller), leader.revision);
    const wire::Value over{{"final", "done"}};
    w.store.compare_and_swap(
        {}, {{keys::job("job-10"), std::nullopt, {}}, {keys::over("job-10"), over, {}}});
    access.controller()->cancel("job-10", Clock::now());
    access.request_write();
    ASSERT_TRUE(
        access.wait_for_commit(10s, [&] { return w.terminal_states.get("job-10").has_value(); }));
    EXPECT_EQ(w.terminal_states.get("job-10"), core::TerminalState::done);
    // Its task is still there, and so is the job.
    const auto status = access.controller()->status("job-10");
    ASSERT_TRUE(status);
    EXPECT_EQ(status->terminal_state, core::TerminalState::done);
    access.remove_controller();
}

// Guard: of an id sent with two bodies, to two controllers, the one that was accepted first is the
// job. The other one was run under its name.
TEST(StateWriter, AnIdSubmittedWithTwoBodiesIsTheOneRecordedFirst) {
    auto& w = writing();
    const auto lease = w.store.grant_lease(60s);
    ASSERT_TRUE(lease);
    const auto leader =
        w.store.compare_and_swap({}, {{keys::leader, wire::Value{{"name", "a"}}, lease}});
    core::JobRecord first;
    first.spec = job("job-11");
    ASSERT_EQ(w.admission.admit(first).outcome, JobAdmission::Result::admitted);
    auto access = w.leader_state.lock();
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

TEST(JobAdmission, AdmitsTheOthersWhenOneIsCalledMalformed) {
    auto& w = writing();
    w.service.refuse("job/job-6");
    std::vector<std::thread> users;
    std::map<std::string, JobAdmission::Result> outcomes;
    std::mutex mutex;
    for (const auto* id : {"job-5", "job-6", "job-7"})
        users.emplace_back([&, id] {
            core::JobRecord record;
            record.spec = job(id);
            const auto outcome = w.admission.admit(std::move(record)).outcome;
            const std::lock_guard lock(mutex);
            outcomes[id] = outcome;
        });
    for (auto& user : users) user.join();
    EXPECT_EQ(outcomes["job-5"], JobAdmission::Result::admitted);
    EXPECT_EQ(outcomes["job-6"], JobAdmission::Result::failed);
    EXPECT_EQ(outcomes["job-7"], JobAdmission::Result::admitted);
}

}  // namespace
}  // namespace bendspindle::state
