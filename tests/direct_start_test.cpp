// Starts sent in direct calls. The leader learns the outcome later; meanwhile the job may have been
// cancelled, or the task preempted.
#include <gtest/gtest.h>

#include <algorithm>

#include "standin/one_machine.hpp"

namespace bendspindle::core {
namespace {

class DirectStartTest : public standin::OneMachine {
  protected:
    DirectStartTest() { controller_.heartbeat(heartbeat(1, 1), start); }
    // Returns a heartbeat of m1, which has seen the leader's token.
    static Heartbeat heartbeat(std::uint64_t agent_epoch, std::uint64_t sequence) {
        return empty_heartbeat(term, agent_epoch, sequence);
    }
    static std::size_t starts(const std::vector<TaskCommand>& commands, const std::string& job) {
        return static_cast<std::size_t>(
            std::count_if(commands.begin(), commands.end(), [&](const TaskCommand& command) {
                return command.verb == TaskCommand::Verb::start && command.job == job;
            }));
    }
    // Adds a job of one task that fills the machine.
    void load_job(const std::string& id, Priority priority) {
        JobSpec spec;
        spec.id = id;
        spec.team = "red";
        spec.priority = priority;
        spec.need = {8, 0, 1};
        spec.estimate = Seconds{500};
        controller_.load_job({spec, "c0", {}, 0, {}, TerminalState::none}, 4, start);
    }
    // Places what is idle, and returns the direct call that carries the starts.
    DirectCommand place_by_direct_call() {
        controller_.cycle(start);
        const auto calls = controller_.direct_commands(start);
        EXPECT_EQ(calls.size(), 1U);
        return calls.empty() ? DirectCommand{} : calls[0];
    }
    // The call is lost on its way.
    void lose(const DirectCommand& call) {
        controller_.complete_direct_call(call, CommandOutcome::unknown, nullptr, start);
    }
    // Returns a heartbeat of the call's task, which has exited.
    static Heartbeat exited(const DirectCommand& call, std::uint64_t sequence) {
        auto out = heartbeat(1, sequence);
        const auto& start_command = call.commands.at(0);
        out.tasks = {{start_command.job, start_command.index, start_command.attempt,
                      TaskState::exited, ExitCause::stopped, false}};
        return out;
    }
    // The agent executes the call and answers.
    void execute(const DirectCommand& call, std::uint64_t sequence) {
        auto answer = exited(call, sequence);
        answer.tasks[0].state = TaskState::running;
        answer.tasks[0].cause = ExitCause::none;
        controller_.complete_direct_call(call, CommandOutcome::executed, &answer, start);
    }
    static bool acknowledges(const HeartbeatResponse& response) {
        return contains(response.commands, TaskCommand::Verb::acknowledge);
    }
    // The agent has begun a new epoch and executes nothing.
    void reject(const DirectCommand& call) {
        const auto answer = heartbeat(2, 1);
        controller_.complete_direct_call(call, CommandOutcome::rejected, &answer, start);
    }
};

TEST_F(DirectStartTest, ARejectedStartIsSentAgain) {
    load_job("job-1", Priority::normal);
    const auto call = place_by_direct_call();
    ASSERT_EQ(starts(call.commands, "job-1"), 1U);
    reject(call);
    EXPECT_EQ(starts(controller_.heartbeat(heartbeat(2, 2), start).commands, "job-1"), 1U);
}

// Guards against starts of a cancelled job: the rejected start was sent again in the next response.
TEST_F(DirectStartTest, ARejectedStartOfACancelledJobIsNotSentAgain) {
    load_job("job-1", Priority::normal);
    const auto call = place_by_direct_call();
    ASSERT_EQ(starts(call.commands, "job-1"), 1U);
    ASSERT_TRUE(controller_.cancel("job-1", start));
    reject(call);
    EXPECT_EQ(starts(controller_.heartbeat(heartbeat(2, 2), start).commands, "job-1"), 0U);
    EXPECT_TRUE(controller_.machines().at("m1").assigned_tasks.empty());
}

// Guards against a preempted task that keeps its place: it was started later only to be stopped.
TEST_F(DirectStartTest, ARejectedStartOfAPreemptedTaskLeavesItsPlace) {
    load_job("job-low", Priority::low);
    const auto call = place_by_direct_call();
    ASSERT_EQ(starts(call.commands, "job-low"), 1U);
    load_job("job-high", Priority::high);
    controller_.cycle(start);
    ASSERT_EQ(controller_.machines().at("m1").assigned_tasks.size(), 2U);
    reject(call);
    const auto commands = controller_.heartbeat(heartbeat(2, 2), start).commands;
    EXPECT_EQ(starts(commands, "job-low"), 0U);
    EXPECT_EQ(starts(commands, "job-high"), 1U);
    EXPECT_EQ(controller_.machines().at("m1").assigned_tasks.size(), 1U);
}

// Guards against a machine that is never empty again: another controller has recorded the job as
// done while a start of it was lost.
TEST_F(DirectStartTest, ALostStartOfAJobRecordedAsDoneLeavesItsPlace) {
    load_job("job-1", Priority::normal);
    const auto call = place_by_direct_call();
    ASSERT_EQ(starts(call.commands, "job-1"), 1U);
    lose(call);
    controller_.apply_recorded_terminal_state("job-1", TerminalState::done, start);
    const auto commands = controller_.heartbeat(heartbeat(1, 2), start).commands;
    ASSERT_EQ(commands.size(), 2U);
    EXPECT_EQ(commands[0].verb, TaskCommand::Verb::start);
    EXPECT_EQ(commands[1].verb, TaskCommand::Verb::stop);

    auto stopped = heartbeat(1, 3);
    stopped.tasks = {
        {"job-1", 0, commands[0].attempt, TaskState::exited, ExitCause::stopped, false}};
    controller_.heartbeat(stopped, start);
    EXPECT_TRUE(controller_.machines().at("m1").assigned_tasks.empty());
}

// Guards against ran_twice: a copy of an answered start arrived after the acknowledgement.
TEST_F(DirectStartTest, AnAcknowledgementRaisesTheTokenOfADirectStart) {
    load_job("job-1", Priority::normal);
    const auto call = place_by_direct_call();
    execute(call, 2);
    const auto response = controller_.heartbeat(exited(call, 3), start);
    ASSERT_TRUE(acknowledges(response));
    EXPECT_GT(response.fencing_token, call.fencing_token);
    EXPECT_EQ(term_of(response.fencing_token), term);
}

TEST_F(DirectStartTest, AnAcknowledgementRaisesTheTokenOfALostDirectStart) {
    load_job("job-1", Priority::normal);
    const auto call = place_by_direct_call();
    lose(call);
    const auto response = controller_.heartbeat(exited(call, 2), start);
    ASSERT_TRUE(acknowledges(response));
    EXPECT_GT(response.fencing_token, call.fencing_token);
}

TEST_F(DirectStartTest, CommandsAfterTheAcknowledgementCarryTheRaisedToken) {
    load_job("job-1", Priority::normal);
    const auto first = place_by_direct_call();
    execute(first, 2);
    const auto raised = controller_.heartbeat(exited(first, 3), start).fencing_token;
    EXPECT_EQ(place_by_direct_call().fencing_token, raised);
}

// Guards against a lost lease: an agent drops a response with a lower token than it has seen.
TEST_F(DirectStartTest, TheResponseToAnOvertakenHeartbeatCarriesTheRaisedToken) {
    load_job("job-1", Priority::normal);
    const auto call = place_by_direct_call();
    execute(call, 2);
    const auto raised = controller_.heartbeat(exited(call, 4), start).fencing_token;
    ASSERT_GT(raised, call.fencing_token);
    EXPECT_EQ(controller_.heartbeat(exited(call, 3), start).fencing_token, raised);
}

// A repeated acknowledgement would otherwise raise the token with each heartbeat.
TEST_F(DirectStartTest, TheTokenIsRaisedOnlyAfterADirectStart) {
    load_job("job-1", Priority::normal);
    const auto call = place_by_direct_call();
    execute(call, 2);
    const auto raised = controller_.heartbeat(exited(call, 3), start).fencing_token;
    const auto repeated = controller_.heartbeat(exited(call, 4), start);
    ASSERT_TRUE(acknowledges(repeated));
    EXPECT_EQ(repeated.fencing_token, raised);
}

// Guards against rejected urgent starts: the raised token would overtake the call in progress.
TEST_F(DirectStartTest, AnAcknowledgementWaitsForTheDirectCallInProgress) {
    load_job("job-1", Priority::normal);
    const auto first = place_by_direct_call();
    execute(first, 2);
    controller_.cancel("job-1", start);
    const auto stop = controller_.direct_commands(start);
    ASSERT_EQ(stop.size(), 1U);
    const auto early = controller_.heartbeat(exited(first, 3), start);
    EXPECT_FALSE(acknowledges(early));
    EXPECT_EQ(early.fencing_token, first.fencing_token);
    const auto answer = exited(first, 4);
    controller_.complete_direct_call(stop[0], CommandOutcome::executed, &answer, start);
    EXPECT_TRUE(acknowledges(controller_.heartbeat(exited(first, 5), start)));
}

TEST_F(DirectStartTest, ARestartedAttemptIsCountedAsUnexpected) {
    load_job("job-1", Priority::normal);
    const auto call = place_by_direct_call();
    execute(call, 2);
    EXPECT_EQ(controller_.counts().unexpected, 0U);
    auto restarted = exited(call, 3);
    ASSERT_TRUE(acknowledges(controller_.heartbeat(restarted, start)));
    restarted.sequence = 4;
    restarted.tasks[0].state = TaskState::running;
    restarted.tasks[0].cause = ExitCause::none;
    (void)controller_.heartbeat(restarted, start);
    EXPECT_EQ(controller_.counts().unexpected, 1U);
}

TEST(FencingToken, TokensOfANewerTermExceedAllOfAnOlderOne) {
    EXPECT_GT(fencing_token(8), fencing_token(7, UINT32_MAX));
    EXPECT_GT(fencing_token(7, 1), fencing_token(7));
    EXPECT_EQ(term_of(fencing_token(7, UINT32_MAX)), 7U);
    EXPECT_EQ(generation_of(fencing_token(7, 3)), 3U);
}

// The token of a version without generations.
TEST(FencingToken, APlainTermIsBelowAllTokensOfItsTerm) {
    EXPECT_GT(fencing_token(7), 7U);
    EXPECT_EQ(term_of(7), 7U);
    EXPECT_EQ(generation_of(7), 0U);
}

}  // namespace
}  // namespace bendspindle::core
