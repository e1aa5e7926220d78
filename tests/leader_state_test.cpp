// What the threads of a controller share: the order in which catalog and records arrive.
#include "state/leader_state.hpp"

#include <gtest/gtest.h>

#include <set>

namespace bendspindle::state {
namespace {

core::MachineType some_type() {
    core::MachineType type;
    type.name = "g8";
    type.size = {8, 0, 64};
    type.zones = {"a"};
    return type;
}

std::unique_ptr<core::Controller> loaded() {
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

// Guard: a catalog that came between the loading of the records and the installing of the new
// controller was lost to it, and for a minute nothing was placed.
TEST(LeaderState, ACatalogReadWhileLoadingIsInstalled) {
    LeaderState leader_state;
    auto controller = loaded();
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
        access.install(loaded(), 7);
        EXPECT_EQ(access.controller()->check(some_job()), core::Feasibility::not_ready);
    }
    leader_state.set_machine_types({some_type()});
    auto access = leader_state.lock();
    EXPECT_EQ(access.controller()->check(some_job()), core::Feasibility::fits);
}

// Guard against an answer that goes back: a former incarnation may still answer "running" for
// a job answered as ended, so no terminal state is recorded before that one must have stopped.
TEST(TerminalStates, AreNotRecordedWhileAFormerIncarnationMayStillAnswer) {
    const auto controller = loaded();
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

// Guard against went_back: a late event of a job that had ended began it again once the cache of
// ended jobs had forgotten it.
TEST(JobWatchCursor, ALateEventAdoptsNoEndedJob) {
    JobWatchCursor cursor;
    cursor.begin(10);
    EXPECT_FALSE(cursor.is_new("job-1", 10));  // read when the records were, or over by then
    EXPECT_TRUE(cursor.is_new("job-1", 11));
    cursor.ended("job-1", 15);
    EXPECT_FALSE(cursor.is_new("job-1", 11));
    cursor.reached(14);
    EXPECT_FALSE(cursor.is_new("job-1", 11));
    EXPECT_TRUE(cursor.is_new("job-2", 15));
    cursor.reached(15);
    EXPECT_FALSE(cursor.is_new("job-1", 11));
    EXPECT_EQ(cursor.revision(), 15U);
    // A listing's own revision may be older than an event that came before it.
    cursor.reached(12);
    EXPECT_EQ(cursor.revision(), 15U);
    EXPECT_FALSE(cursor.is_new("job-1", 11));
    // Another controller's records begin anew.
    cursor.begin(20);
    EXPECT_FALSE(cursor.is_new("job-2", 20));
    EXPECT_TRUE(cursor.is_new("job-2", 21));
}

// Two incarnations of a process may begin in the same millisecond: no name may come from a clock.
TEST(Names, ALaterTermSharesNoneWithTheOneBefore) {
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    const core::MachineCatalog catalog;
    core::MachineInventory fleet(config, catalog);
    core::JobTable elder(fleet, 1);
    core::JobTable younger(fleet, 2);
    std::uint64_t last = 0;
    for (int i = 0; i < 1000; ++i) last = elder.next_attempt();
    EXPECT_GT(younger.next_attempt(), last);

    const core::TimePoint still{std::chrono::hours(1)};
    std::set<std::string> names;
    for (const std::uint64_t term : {1, 2}) {
        core::Controller controller(config, term);
        controller.set_types({some_type()});
        controller.accept(some_job(), core::WallTime{}, still);
        controller.mark_committed(controller.due_writes(10, still), 1, still);
        const auto plan = controller.plan_scaling(still);
        ASSERT_FALSE(plan.scale_out.empty());
        for (const auto& request : plan.scale_out)
            EXPECT_TRUE(names.insert(request.request).second) << request.request;
    }
}

// Guard against ran_cancelled: a leader that no longer renews leases went on starting by direct
// command, in its agents' next epochs, what another controller had cancelled.
TEST(DirectCommands, ALeaderThatMayNotRenewStartsNothing) {
    const auto now = core::TimePoint{std::chrono::hours(1)};
    auto controller = loaded();
    controller->set_types({some_type()});
    core::Heartbeat heartbeat;
    heartbeat.machine = "m1";
    heartbeat.address = "10.0.0.1:9000";
    heartbeat.type = "g8";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = heartbeat.sequence = heartbeat.fencing_token = 1;
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
