// A new leader after one that has confirmed cancellations. The cancelled jobs are terminal and
// therefore not loaded, but the new leader renews the leases of the machines that run their tasks,
// so it has to command the stops.
#include <gtest/gtest.h>

#include <algorithm>

#include "standin/one_machine.hpp"

namespace bendspindle::core {
namespace {

class NewLeaderTest : public standin::OneMachine {
  protected:
    static JobSpec spec() {
        JobSpec out;
        out.id = "job-1";
        out.team = "red";
        out.need = {1, 0, 1};
        return out;
    }
    // Returns a heartbeat of m1, which runs a task of job-1.
    static Heartbeat heartbeat(std::uint64_t seen_term, std::uint64_t sequence) {
        auto out = empty_heartbeat(seen_term, 1, sequence);
        out.tasks = {{"job-1", 0, 5, TaskState::running, ExitCause::none, false}};
        return out;
    }
    static std::size_t stops(const std::vector<TaskCommand>& commands) {
        return static_cast<std::size_t>(
            std::count(commands.begin(), commands.end(),
                       TaskCommand{TaskCommand::Verb::stop, "job-1", 0, 5, Seconds{0}}));
    }
};

TEST_F(NewLeaderTest, StopsOrphanedTasksInItsFirstResponse) {
    const auto answer = controller_.heartbeat(heartbeat(term - 1, 1), start);
    EXPECT_TRUE(answer.leader_is_current);
    EXPECT_EQ(stops(answer.commands), 1U);
}

TEST_F(NewLeaderTest, LeavesOpenJobsAloneInItsFirstResponse) {
    controller_.load_job({spec(), "c0", {}, 0, {}, TerminalState::none}, 4, start);
    EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term - 1, 1), start).commands), 0U);
    EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term, 2), start).commands), 0U);
}

// A job whose record cannot be read must not be treated as terminal.
TEST_F(NewLeaderTest, LeavesQuarantinedJobsAlone) {
    controller_.quarantine("job-1");
    EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term - 1, 1), start).commands), 0U);
    EXPECT_TRUE(controller_.jobs_to_stop().empty());
}

TEST_F(NewLeaderTest, RepeatsAStopInEachResponseUntilTheTaskIsGone) {
    for (std::uint64_t sequence = 1; sequence < 5; ++sequence)
        EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term, sequence), start).commands), 1U)
            << sequence;
}

TEST_F(NewLeaderTest, RepeatsAStopOfWhatItCancelledItself) {
    controller_.load_job({spec(), "c0", {}, 0, {}, TerminalState::none}, 4, start);
    EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term, 1), start).commands), 0U);
    ASSERT_TRUE(controller_.cancel("job-1", start));
    for (std::uint64_t sequence = 2; sequence < 6; ++sequence)
        EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term, sequence), start).commands), 1U)
            << sequence;
}

// The answer to a direct call overtakes a heartbeat. The agent still accepts the response to that
// heartbeat as a lease renewal, so the response has to carry the stop.
TEST_F(NewLeaderTest, StopsInTheResponseToAnOvertakenHeartbeat) {
    const auto calls = controller_.direct_commands(start);
    ASSERT_EQ(calls.size(), 1U);
    const auto newer = heartbeat(term, 9);
    controller_.complete_direct_call(calls[0], CommandOutcome::executed, &newer, start);
    EXPECT_EQ(stops(controller_.heartbeat(heartbeat(term, 8), start).commands), 1U);
}

// The cancellation snapshot for followers is marked complete once all machines are fenced, and the
// answer to a direct call fences a machine as well.
TEST_F(NewLeaderTest, NamesOrphanedJobsOnMachinesCalledDirectly) {
    const auto calls = controller_.direct_commands(start);
    ASSERT_EQ(calls.size(), 1U);
    const auto seen = heartbeat(term, 1);
    controller_.complete_direct_call(calls[0], CommandOutcome::executed, &seen, start);
    EXPECT_EQ(controller_.unfenced_machine_count(), 0U);
    EXPECT_EQ(controller_.jobs_to_stop(), std::set<std::string>{"job-1"});

    auto gone = heartbeat(term, 2);
    gone.tasks.clear();
    controller_.heartbeat(gone, start);
    EXPECT_TRUE(controller_.jobs_to_stop().empty());
}

}  // namespace
}  // namespace bendspindle::core
