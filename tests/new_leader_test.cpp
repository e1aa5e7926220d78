// A leader that follows one that has confirmed cancellations: the jobs are in a terminal state and
// not loaded, and whoever renews the lease of a machine that runs their tasks has to command the
// stops.
#include <gtest/gtest.h>

#include <algorithm>

#include "core/controller.hpp"

namespace bendspindle::core {
namespace {

constexpr std::uint64_t term = 7;
const TimePoint start{std::chrono::hours(1)};

class Successor : public testing::Test {
  protected:
    Successor() : controller_(config(), term) {
        MachineType type;
        type.name = "g8";
        type.size = {8, 0, 64};
        type.zones = {"a"};
        controller_.set_types({type});
        ListedMachine machine;
        machine.name = "m1";
        machine.type = "g8";
        machine.zone = "a";
        machine.address = "10.0.0.1:9000";
        controller_.load_machine(machine, 3, start);
    }
    static Config config() {
        Config out;
        out.zones = {"a"};
        out.teams = {{"red", {}, {}}};
        return out;
    }
    static JobSpec spec() {
        JobSpec out;
        out.id = "job-1";
        out.team = "red";
        out.need = {1, 0, 1};
        return out;
    }
    // A heartbeat of m1, on which a task of job-1 runs.
    static Heartbeat heartbeat(std::uint64_t fencing_token, std::uint64_t sequence) {
        Heartbeat out;
        out.machine = "m1";
        out.address = "10.0.0.1:9000";
        out.type = "g8";
        out.zone = "a";
        out.agent_epoch = 1;
        out.sequence = sequence;
        out.fencing_token = fencing_token;
        out.tasks = {{"job-1", 0, 5, TaskState::running, ExitCause::none, false}};
        return out;
    }
    static std::size_t stops(const std::vector<TaskCommand>& commands) {
        return static_cast<std::size_t>(
            std::count(commands.begin(), commands.end(),
                       TaskCommand{TaskCommand::Verb::stop, "job-1", 0, 5, Seconds{0}}));
    }

    Controller controller_;
};

TEST_F(Successor, StopsOrphanedTasksInItsFirstResponse) {
    const auto answer = controller_.heartbeat(heartbeat(term - 1, 1), start);
    EXPECT_TRUE(answer.entitled);
    EXPECT_EQ(stops(answer.commands), 1U);
}

TEST_F(Successor, LeavesOpenJobsAloneInItsFirstResponse) {
    controller_.load_job({spec(), "c0", {}, 0, {}, TerminalState::none}, 4, start);
    EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term - 1, 1), start).commands), 0U);
    EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term, 2), start).commands), 0U);
}

// A job whose record cannot be read is not known to be in a terminal state.
TEST_F(Successor, LeavesQuarantinedJobsAlone) {
    controller_.quarantine("job-1");
    EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term - 1, 1), start).commands), 0U);
    EXPECT_TRUE(controller_.jobs_to_end().empty());
}

TEST_F(Successor, RepeatsAStopInEachResponseUntilTheTaskIsGone) {
    for (std::uint64_t sequence = 1; sequence < 5; ++sequence)
        EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term, sequence), start).commands), 1U)
            << sequence;
}

TEST_F(Successor, RepeatsAStopOfWhatItCancelledItself) {
    controller_.load_job({spec(), "c0", {}, 0, {}, TerminalState::none}, 4, start);
    EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term, 1), start).commands), 0U);
    ASSERT_TRUE(controller_.cancel("job-1", start));
    for (std::uint64_t sequence = 2; sequence < 6; ++sequence)
        EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term, sequence), start).commands), 1U)
            << sequence;
}

// The answer to a direct call is newer than a heartbeat that is still on its way, but the agent
// takes the response to the heartbeat as a renewal all the same.
TEST_F(Successor, StopsInTheResponseToAnOvertakenHeartbeat) {
    const auto calls = controller_.direct_commands(start);
    ASSERT_EQ(calls.size(), 1U);
    const auto newer = heartbeat(term, 9);
    controller_.called(calls[0], CommandOutcome::executed, &newer, start);
    EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term, 8), start).commands), 1U);
}

// Its cancellation snapshot for followers says that it is complete once all machines are fenced;
// the answer to a direct call fences, too.
TEST_F(Successor, NamesOrphanedJobsOnMachinesCalledDirectly) {
    const auto calls = controller_.direct_commands(start);
    ASSERT_EQ(calls.size(), 1U);
    const auto seen = heartbeat(term, 1);
    controller_.called(calls[0], CommandOutcome::executed, &seen, start);
    EXPECT_EQ(controller_.unconfirmed(), 0U);
    EXPECT_EQ(controller_.jobs_to_end(), std::set<std::string>{"job-1"});

    auto gone = heartbeat(term, 2);
    gone.tasks.clear();
    controller_.heartbeat(gone, start);
    EXPECT_TRUE(controller_.jobs_to_end().empty());
}

}  // namespace
}  // namespace bendspindle::core
