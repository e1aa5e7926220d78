// Tests of the state shared by the threads of a controller: the catalog and the records may arrive
// in any order.
#include "state/leader_state.hpp"

#include <gtest/gtest.h>

#include <set>

#include "core/model/fencing_token.hpp"

namespace bendspindle::state {
namespace {

core::MachineType some_type() {
    core::MachineType type;
    type.name = "g8";
    type.size = {8, 0, 64};
    type.zones = {"a"};
    return type;
}

std::unique_ptr<core::Controller> make_controller() {
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    return std::make_unique<core::Controller>(config, 1);
}

core::JobSpec some_job() {
    core::JobSpec spec;
    spec.id = "job-1";
    spec.team = "red";
    spec.need = {1, 0, 1};
    return spec;
}

// Guards against a minute without placement: a new controller did not get a catalog that arrived
// between the loading of its records and its installation.
TEST(LeaderState, ACatalogReadWhileLoadingIsInstalled) {
    LeaderState leader_state;
    auto controller = make_controller();
    leader_state.set_machine_types({some_type()});
    auto access = leader_state.lock();
    access.install(std::move(controller), 7);
    EXPECT_EQ(access.controller()->check(some_job()), core::Feasibility::fits);
    EXPECT_EQ(access.leader_key_revision(), 7U);
}

TEST(LeaderState, ACatalogReadLaterIsKnown) {
    LeaderState leader_state;
    {
        auto access = leader_state.lock();
        access.install(make_controller(), 7);
        EXPECT_EQ(access.controller()->check(some_job()), core::Feasibility::not_ready);
    }
    leader_state.set_machine_types({some_type()});
    auto access = leader_state.lock();
    EXPECT_EQ(access.controller()->check(some_job()), core::Feasibility::fits);
}

// Guards against an outdated response: a former incarnation of the controller may still return
// "running" for an ended job, so no terminal state is recorded before that incarnation must have
// stopped.
TEST(TerminalStates, AreNotRecordedWhileAFormerIncarnationMayStillAnswer) {
    const auto controller = make_controller();
    controller->set_types({some_type()});
    const core::TimePoint now{std::chrono::hours(1)};
    controller->accept(some_job(), core::WallTime{}, now);
    controller->mark_committed(controller->due_writes(10, now), 1, now);
    controller->hold_terminal_states_until(now + std::chrono::seconds(4));
    ASSERT_TRUE(controller->cancel("job-1", now));
    EXPECT_TRUE(controller->due_writes(10, now + std::chrono::seconds(3)).empty());
    EXPECT_EQ(controller->status("job-1")->terminal_state, core::TerminalState::none);
    const auto due = controller->due_writes(10, now + std::chrono::seconds(4));
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].type, core::RecordWrite::Type::finish_job);
}

// Guards against went_back: a late event of an ended job restarted the job once the cache of
// terminal states had evicted it.
TEST(JobWatchCursor, ALateEventAdoptsNoEndedJob) {
    JobWatchCursor cursor;
    cursor.reset(10);
    EXPECT_FALSE(cursor.is_new("job-1", 10));  // loaded with the records, or ended before
    EXPECT_TRUE(cursor.is_new("job-1", 11));
    cursor.record_end("job-1", 15);
    EXPECT_FALSE(cursor.is_new("job-1", 11));
    cursor.advance_to(14);
    EXPECT_FALSE(cursor.is_new("job-1", 11));
    EXPECT_TRUE(cursor.is_new("job-2", 15));
    cursor.advance_to(15);
    EXPECT_FALSE(cursor.is_new("job-1", 11));
    EXPECT_EQ(cursor.revision(), 15U);
    // A listing's revision may be older than an event that arrived before it.
    cursor.advance_to(12);
    EXPECT_EQ(cursor.revision(), 15U);
    EXPECT_FALSE(cursor.is_new("job-1", 11));
    // A new controller has loaded the records again.
    cursor.reset(20);
    EXPECT_FALSE(cursor.is_new("job-2", 20));
    EXPECT_TRUE(cursor.is_new("job-2", 21));
}

// Two incarnations of a process may start in the same millisecond, so no name may be derived from a
// clock.
TEST(Names, ALaterTermSharesNoneWithTheOneBefore) {
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    const core::MachineCatalog catalog;
    core::MachineInventory fleet(config, catalog);
    core::JobTable earlier(fleet, 1);
    core::JobTable later(fleet, 2);
    std::uint64_t last = 0;
    for (int i = 0; i < 1000; ++i) last = earlier.next_attempt();
    EXPECT_GT(later.next_attempt(), last);

    const core::TimePoint now{std::chrono::hours(1)};
    std::set<std::string> names;
    for (const std::uint64_t term : {1, 2}) {
        core::Controller controller(config, term);
        controller.set_types({some_type()});
        controller.accept(some_job(), core::WallTime{}, now);
        controller.mark_committed(controller.due_writes(10, now), 1, now);
        const auto plan = controller.plan_scaling(now);
        ASSERT_FALSE(plan.scale_out.empty());
        for (const auto& request : plan.scale_out)
            EXPECT_TRUE(names.insert(request.request).second) << request.request;
    }
}

// Guards against ran_cancelled: a leader that no longer renewed leases kept starting tasks by
// direct command, in the next epochs of its agents, whose job another controller had cancelled.
TEST(DirectCommands, ALeaderThatMayNotRenewStartsNothing) {
    const auto now = core::TimePoint{std::chrono::hours(1)};
    auto controller = make_controller();
    controller->set_types({some_type()});
    core::Heartbeat heartbeat;
    heartbeat.machine = "m1";
    heartbeat.address = "10.0.0.1:9000";
    heartbeat.type = "g8";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = heartbeat.sequence = 1;
    heartbeat.fencing_token = core::fencing_token(1);
    controller->heartbeat(heartbeat, now);
    controller->accept(some_job(), core::WallTime{}, now);
    controller->mark_committed(controller->due_writes(8, now), 5, now);
    controller->cycle(now);
    EXPECT_TRUE(controller->direct_commands(now, false).empty());
    const auto calls = controller->direct_commands(now);
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls[0].commands.size(), 1U);
}

}  // namespace
}  // namespace bendspindle::state
