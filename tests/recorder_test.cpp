// Writing records, against a stand-in of the state service that calls some of them malformed.
#include "app/recorder.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <thread>

#include "app/acceptor.hpp"
#include "standin/services.hpp"
#include "wire/records.hpp"

namespace bendspindle::app {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr StateLimits limits{500, 500, 32, 12};

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
    HttpStateStore store;
    Office office;
    FinalCache finals{100};
    Recorder recorder{office, store, finals, limits};
    Acceptor acceptor{store, limits};
};

Writing& writing() {
    static auto* all = [] {
        auto* made = new Writing(21000 + static_cast<int>(::getpid() % 1000));
        std::thread([made] { made->recorder.run(); }).detach();
        std::thread([made] { made->acceptor.run(); }).detach();
        return made;
    }();
    return *all;
}

// Guard: one record that the service calls malformed kept all others from being written, for ever.
TEST(Recorder, WritesTheOthersWhenOneIsCalledMalformed) {
    auto& w = writing();
    w.service.refuse("job/job-2");
    const auto lease = w.store.grant(60s);
    ASSERT_TRUE(lease);
    const auto steward = w.store.transact({}, {{keys::steward, wire::Value{{"name", "a"}}, lease}});
    {
        const std::lock_guard lock(w.office.mutex);
        core::Config config;
        config.zones = {"a"};
        config.teams = {{"red", {}, {}}};
        w.office.install(std::make_unique<core::Controller>(config, 1), steward.revision);
        for (const auto* id : {"job-1", "job-2", "job-3", "job-4"})
            w.office.controller->accept(job(id), core::WallTime{}, Clock::now());
        w.office.want_write();
    }
    std::unique_lock lock(w.office.mutex);
    const bool written = w.office.recorded.wait_for(lock, 10s, [&] {
        return w.office.controller->durable("job-1") && w.office.controller->durable("job-3") &&
               w.office.controller->durable("job-4");
    });
    EXPECT_TRUE(written);
    EXPECT_FALSE(w.office.controller->durable("job-2"));
    w.office.controller.reset();
}

// Guard against went_back: the final state was recorded late, behind a write that got no answer;
// who read the record told its user, and the controller that acts went on telling "running" or
// "queued".
TEST(Recorder, ALateFinalIsNotFollowedByAnOlderState) {
    auto& w = writing();
    const auto lease = w.store.grant(60s);
    ASSERT_TRUE(lease);
    const auto steward = w.store.transact({}, {{keys::steward, wire::Value{{"name", "a"}}, lease}});
    std::unique_lock lock(w.office.mutex);
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    w.office.install(std::make_unique<core::Controller>(config, 2), steward.revision);
    w.office.controller->accept(job("job-8"), core::WallTime{}, Clock::now());
    w.office.want_write();
    ASSERT_TRUE(w.office.recorded.wait_for(lock, 10s,
                                           [&] { return w.office.controller->durable("job-8"); }));

    // The first is carried out while the second, its repeat, is waited for.
    w.service.hold({2200ms, 4000ms});
    w.office.controller->cancel("job-8", Clock::now());
    w.office.want_write();
    int read_as_over = 0;
    core::Final told = core::Final::none;
    for (const auto until = Clock::now() + 15s; Clock::now() < until;) {
        lock.unlock();
        const bool over = w.store.get(keys::over("job-8")).outcome == Outcome::ok;
        std::this_thread::sleep_for(20ms);
        lock.lock();
        const auto status = w.office.controller->status("job-8");
        told = w.finals.get("job-8").value_or(core::Final::none);
        if (told == core::Final::cancelled) break;
        if (!over) continue;
        ++read_as_over;
        EXPECT_FALSE(status && status->final == core::Final::none);
    }
    EXPECT_GT(read_as_over, 0) << "the meeting did not come about";
    EXPECT_EQ(told, core::Final::cancelled);
    w.office.controller.reset();
}

// What was refused was not carried out: the state before holds and is told.
TEST(Recorder, ARefusedFinalLeavesTheFormerState) {
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    core::Controller controller(config, 3);
    controller.accept(job("job-9"), core::WallTime{}, Clock::now());
    controller.written(controller.changes(8, Clock::now()), 5, Clock::now());
    ASSERT_TRUE(controller.status("job-9"));
    controller.cancel("job-9", Clock::now());
    const auto first = controller.sent(controller.changes(8, Clock::now()));
    EXPECT_FALSE(controller.status("job-9"));
    controller.not_executed(first);
    ASSERT_TRUE(controller.status("job-9"));
    // After one that got no answer a refused repeat proves nothing.
    controller.sent(controller.changes(8, Clock::now()));
    controller.not_executed(controller.sent(controller.changes(8, Clock::now())));
    EXPECT_FALSE(controller.status("job-9"));
    controller.written(controller.changes(8, Clock::now()), 6, Clock::now());
    EXPECT_FALSE(controller.knows("job-9"));
}

// Guard against went_back: a job held as cancelled whose record says that it is done was told as
// cancelled here, and as done by everybody else.
TEST(Recorder, TheRecordOfAnEndHasTheLastWord) {
    auto& w = writing();
    const auto lease = w.store.grant(60s);
    ASSERT_TRUE(lease);
    const auto steward = w.store.transact({}, {{keys::steward, wire::Value{{"name", "a"}}, lease}});
    core::JobRecord record;
    record.spec = job("job-10");
    record.spec.kind = core::Kind::service;
    record.last_attempt = 7;
    record.home = "a";
    const auto put =
        w.store.transact({}, {{keys::job("job-10"), wire::job_record(record), std::nullopt}});
    std::unique_lock lock(w.office.mutex);
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
    core::Report report;
    report.machine = "m1";
    report.address = "10.0.0.1:9000";
    report.type = "g8";
    report.zone = "a";
    report.session = report.seq = 1;
    report.token = 4;
    report.tasks.push_back(
        {"job-10", 0, 7, core::TaskState::running, core::ExitCause::none, false});
    controller->report(report, Clock::now());
    ASSERT_EQ(controller->status("job-10")->running, 1U);
    w.office.install(std::move(controller), steward.revision);
    const wire::Value over{{"final", "done"}};
    w.store.transact({},
                     {{keys::job("job-10"), std::nullopt, {}}, {keys::over("job-10"), over, {}}});
    w.office.controller->cancel("job-10", Clock::now());
    w.office.want_write();
    ASSERT_TRUE(
        w.office.recorded.wait_for(lock, 10s, [&] { return w.finals.get("job-10").has_value(); }));
    EXPECT_EQ(w.finals.get("job-10"), core::Final::done);
    // Its task is still there, and so is the job.
    const auto status = w.office.controller->status("job-10");
    ASSERT_TRUE(status);
    EXPECT_EQ(status->final, core::Final::done);
    w.office.controller.reset();
}

// Guard: of an id sent with two bodies, to two controllers, the one that was accepted first is the
// job. The other one was run under its name.
TEST(Recorder, AnIdSentWithTwoBodiesIsTheOneRecordedFirst) {
    auto& w = writing();
    const auto lease = w.store.grant(60s);
    ASSERT_TRUE(lease);
    const auto steward = w.store.transact({}, {{keys::steward, wire::Value{{"name", "a"}}, lease}});
    core::JobRecord first;
    first.spec = job("job-11");
    ASSERT_EQ(w.acceptor.accept(first).outcome, Acceptor::Outcome::accepted);
    std::unique_lock lock(w.office.mutex);
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    w.office.install(std::make_unique<core::Controller>(config, 5), steward.revision);
    auto second = job("job-11");
    second.tasks = 9;
    w.office.controller->accept(second, core::WallTime{}, Clock::now());
    w.office.want_write();
    ASSERT_TRUE(w.office.recorded.wait_for(lock, 10s,
                                           [&] { return w.office.controller->durable("job-11"); }));
    EXPECT_TRUE(w.office.controller->found("job-11"));
    ASSERT_EQ(w.office.controller->jobs().size(), 1U);
    EXPECT_EQ(w.office.controller->jobs().begin()->second->spec.tasks, first.spec.tasks);
    w.office.controller.reset();
}

TEST(Acceptor, AcceptsTheOthersWhenOneIsCalledMalformed) {
    auto& w = writing();
    w.service.refuse("job/job-6");
    std::vector<std::thread> users;
    std::map<std::string, Acceptor::Outcome> outcomes;
    std::mutex mutex;
    for (const auto* id : {"job-5", "job-6", "job-7"})
        users.emplace_back([&, id] {
            core::JobRecord record;
            record.spec = job(id);
            const auto outcome = w.acceptor.accept(std::move(record)).outcome;
            const std::lock_guard lock(mutex);
            outcomes[id] = outcome;
        });
    for (auto& user : users) user.join();
    EXPECT_EQ(outcomes["job-5"], Acceptor::Outcome::accepted);
    EXPECT_EQ(outcomes["job-6"], Acceptor::Outcome::failed);
    EXPECT_EQ(outcomes["job-7"], Acceptor::Outcome::accepted);
}

}  // namespace
}  // namespace bendspindle::app
