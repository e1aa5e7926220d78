// The limit on the size of messages between agents and the leader: the bounds of
// core/model/message_size.hpp against what `wire` writes, and what the leader sends when more is
// due than one message can carry.
#include "core/model/message_size.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <random>

#include "core/reconciliation/command_batch.hpp"
#include "leadership/cancellation_replica.hpp"
#include "standin/message_size.hpp"
#include "standin/one_machine.hpp"
#include "wire/agent_messages.hpp"

namespace bendspindle::core {
namespace {

using standin::json_size;
using standin::message_limit_bytes;

constexpr std::uint64_t largest_attempt = std::numeric_limits<std::uint64_t>::max();

const std::vector<std::string> job_ids{"job-000412", "job-" + std::string(60, 'x'),
                                       std::string(40, '"'), std::string(40, '\x07'),
                                       std::string("j\xc3\xb6") + "b"};

std::size_t size_of(const std::vector<ReportedTask>& tasks) {
    Heartbeat heartbeat;
    heartbeat.tasks = tasks;
    return json_size(wire::heartbeat_body(heartbeat));
}

std::size_t size_of(const std::vector<TaskCommand>& commands) {
    return json_size(wire::commands_body(1, commands));
}

TEST(MessageSize, NoTaskEntryIsLargerThanItsBound) {
    for (const auto& job : job_ids)
        for (const auto state : {TaskState::fetching, TaskState::waiting, TaskState::running,
                                 TaskState::saving, TaskState::exited})
            for (const auto cause : {ExitCause::done, ExitCause::stopped, ExitCause::unknown}) {
                const ReportedTask task{job, 99'999, largest_attempt, state, cause, true};
                constexpr std::size_t separator = 1;
                EXPECT_LE(size_of({task}) - size_of(std::vector<ReportedTask>{}) + separator,
                          max_task_entry_bytes(job));
            }
}

TEST(MessageSize, NoCommandIsLargerThanItsBound) {
    for (const auto& job : job_ids)
        for (const auto verb :
             {TaskCommand::Verb::start, TaskCommand::Verb::stop, TaskCommand::Verb::acknowledge}) {
            const TaskCommand command{verb, job, 99'999, largest_attempt, Seconds{-1.0 / 3e-5}};
            constexpr std::size_t separator = 1;
            EXPECT_LE(size_of({command}) - size_of(std::vector<TaskCommand>{}) + separator,
                      max_command_bytes(command));
        }
}

// A message with the largest list of either kind is within the limit.
TEST(MessageSize, FullListsFitIntoAMessage) {
    const TaskCommand stop{TaskCommand::Verb::stop, "job-1", 99'999, largest_attempt, Seconds{0.1}};
    CommandBatch batch;
    while (batch.add(stop)) continue;
    DirectCommand call{"m1", "10.0.0.1:9000", largest_attempt, largest_attempt, batch.take()};
    EXPECT_LE(json_size(wire::direct_commands_body(call)), message_limit_bytes);
    EXPECT_LE(json_size(wire::commands_body(largest_attempt, call.commands)), message_limit_bytes);

    Heartbeat heartbeat;
    heartbeat.machine = heartbeat.type = heartbeat.zone = std::string(300, 'n');
    heartbeat.address = "255.255.255.255:65535";
    heartbeat.agent_epoch = heartbeat.sequence = heartbeat.fencing_token = largest_attempt;
    heartbeat.reclaim_notice = Seconds{1.0 / 3};
    const ReportedTask task{"job-000412",      99'999,          largest_attempt,
                            TaskState::exited, ExitCause::done, true};
    heartbeat.tasks.assign(max_task_list_bytes / max_task_entry_bytes(task.job), task);
    EXPECT_LE(json_size(wire::heartbeat_body(heartbeat)), message_limit_bytes);
}

TEST(MessageSize, JobsWithSimilarIdsNeedTheSameSpace) {
    EXPECT_EQ(max_task_entry_bytes("job-1"), max_task_entry_bytes("job-1234567"));
}

TEST(CommandBatch, KeepsSpaceForRequiredCommands) {
    const TaskCommand stop{TaskCommand::Verb::stop, "job-cancelled", 1, 1, {}};
    const TaskCommand start{TaskCommand::Verb::start, "job-other", 1, 1, {}};
    CommandBatch batch({stop});
    while (batch.add(start)) continue;
    batch.add_required();
    const auto commands = batch.take();
    EXPECT_EQ(commands.back(), stop);
    EXPECT_LE(size_of(commands), message_limit_bytes);
}

TEST(CommandBatch, AddsARequiredCommandOnce) {
    const TaskCommand stop{TaskCommand::Verb::stop, "job-cancelled", 1, 1, {}};
    CommandBatch batch({stop});
    EXPECT_TRUE(batch.add(stop));
    batch.add_required();
    EXPECT_EQ(batch.take().size(), 1U);
}

TEST(CommandBatch, AddsCommandsTogetherOrNotAtAll) {
    const TaskCommand command{TaskCommand::Verb::start, "job-1", 1, 1, {}};
    CommandBatch batch;
    std::size_t added = 0;
    while (batch.add_together({command, command, command})) added += 3;
    EXPECT_EQ(batch.take().size(), added);
}

// Guards against ran_cancelled and against messages that the agent drops: a follower's response to
// a machine with more tasks of a cancelled job than stops fit into a message.
TEST(CancellationReplicaSize, StopsAsManyTasksAsFitIntoAMessage) {
    constexpr TimePoint now{std::chrono::hours(1)};
    leadership::CancellationReplica replica({}, 3);
    replica.record_cancellation("job-1", now);
    Heartbeat heartbeat;
    for (std::uint32_t i = 0; i < 2000; ++i)
        heartbeat.tasks.push_back(
            {"job-1", i, largest_attempt, TaskState::running, ExitCause::none, false});
    const auto stops = replica.stop_commands(heartbeat, now);
    EXPECT_GT(stops.size(), 300U);
    EXPECT_LE(size_of(stops), message_limit_bytes);
}

// One machine of 8 CPUs, and jobs whose tasks need a thousandth of one.
class ManyTinyTasks : public standin::OneMachine {
  protected:
    // The state of an agent that reports in time and executes what it is told.
    struct Agent {
        std::uint64_t sequence = 0;
        std::vector<ReportedTask> tasks;
    };

    ManyTinyTasks() { exchange({}); }

    void add_job(const std::string& id, std::uint32_t tasks, Priority priority = Priority::normal) {
        JobSpec spec;
        spec.id = id;
        spec.team = "red";
        spec.priority = priority;
        spec.tasks = tasks;
        spec.need = {0.001, 0, 0.001};
        spec.estimate = Seconds{500};
        controller_.load_job({spec, "c0", {}, 0, {}, TerminalState::none}, 4, start);
    }
    // Sends a heartbeat with the tasks and returns the commands in the response.
    std::vector<TaskCommand> exchange(const std::vector<ReportedTask>& tasks) {
        agent_.tasks = tasks;
        auto heartbeat = empty_heartbeat(term, 1, ++agent_.sequence);
        heartbeat.tasks = tasks;
        auto commands = controller_.heartbeat(heartbeat, start).commands;
        EXPECT_LE(size_of(commands), message_limit_bytes);
        return commands;
    }
    // Reports the tasks of all starts as running.
    std::vector<ReportedTask> start_all(const std::vector<TaskCommand>& commands) {
        auto tasks = agent_.tasks;
        for (const auto& command : commands)
            if (command.verb == TaskCommand::Verb::start)
                tasks.push_back({command.job, command.index, command.attempt, TaskState::running,
                                 ExitCause::none, false});
        return tasks;
    }
    static std::size_t count(const std::vector<TaskCommand>& commands, TaskCommand::Verb verb) {
        return static_cast<std::size_t>(
            std::count_if(commands.begin(), commands.end(),
                          [&](const TaskCommand& command) { return command.verb == verb; }));
    }

    Agent agent_;
};

// Guards against left_waiting: the 2,500 starts made one message of 149 KB, which the agent
// refused, as it refused each later response; its lease expired again and again.
TEST_F(ManyTinyTasks, StartsAndTaskListFitIntoMessages) {
    add_job("job-1", 2500);
    controller_.cycle(start);
    const auto calls = controller_.direct_commands(start);
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_GT(calls[0].commands.size(), 300U);
    EXPECT_LE(json_size(wire::direct_commands_body(calls[0])), message_limit_bytes);
    controller_.complete_direct_call(calls[0], CommandOutcome::unknown, nullptr, start);
    const auto repeated = exchange({});
    EXPECT_EQ(count(repeated, TaskCommand::Verb::start), calls[0].commands.size());
    const auto running = start_all(repeated);
    EXPECT_LE(size_of(running), message_limit_bytes);
    EXPECT_EQ(exchange(running).size(), 0U);
}

// Guards against left_waiting: a completed task stays in the agent's list until its completion is
// recorded, so its place is not free for another one.
TEST_F(ManyTinyTasks, CompletedTasksKeepTheirPlaceUntilTheyAreAcknowledged) {
    add_job("job-1", 2500);
    controller_.cycle(start);
    auto tasks = start_all(exchange({}));
    ASSERT_GT(tasks.size(), 300U);
    exchange(tasks);
    for (auto& task : tasks) {
        task.state = TaskState::exited;
        task.cause = ExitCause::done;
    }
    exchange(tasks);
    controller_.cycle(start);
    EXPECT_EQ(exchange(tasks).size(), 0U);

    const auto writes = controller_.due_writes(48, core::later(start, Seconds{10}));
    ASSERT_EQ(writes.size(), 1U);
    controller_.mark_committed(writes, 5, start);
    const auto acknowledged = exchange(tasks);
    EXPECT_EQ(count(acknowledged, TaskCommand::Verb::acknowledge), tasks.size());
    exchange({});
    controller_.cycle(start);
    EXPECT_GT(count(exchange({}), TaskCommand::Verb::start), 300U);
}

// Guards against ran_cancelled: an agent with a longer list than a leader of this version would
// have made gets the stops of the cancelled job first, the rest in later responses.
TEST_F(ManyTinyTasks, StopsOfACancelledJobComeBeforeAllOtherCommands) {
    add_job("job-1", 2500);
    add_job("job-2", 2500, Priority::high);
    std::vector<ReportedTask> tasks;
    for (std::uint32_t i = 0; i < 900; ++i)
        tasks.push_back({"job-1", i, 5, TaskState::running, ExitCause::none, false});
    for (std::uint32_t i = 0; i < 900; ++i)
        tasks.push_back({"job-gone", i, 5, TaskState::exited, ExitCause::error, false});
    exchange(tasks);
    ASSERT_TRUE(controller_.cancel("job-1", start));
    std::size_t responses = 0;
    while (!tasks.empty() && ++responses < 10) {
        const auto commands = exchange(tasks);
        const auto stops = count(commands, TaskCommand::Verb::stop);
        const auto running = std::count_if(tasks.begin(), tasks.end(), [](const auto& task) {
            return task.state == TaskState::running;
        });
        EXPECT_GE(stops, std::min<std::size_t>(running, 400));
        for (const auto& command : commands) {
            const auto task = std::find_if(tasks.begin(), tasks.end(), [&](const auto& t) {
                return t.job == command.job && t.index == command.index;
            });
            if (task == tasks.end()) continue;
            if (command.verb == TaskCommand::Verb::acknowledge) tasks.erase(task);
            if (command.verb != TaskCommand::Verb::stop) continue;
            task->state = TaskState::exited;
            task->cause = ExitCause::stopped;
        }
    }
    EXPECT_TRUE(tasks.empty());
}

// A stop that did not fit is still due: it is sent with the next response.
TEST_F(ManyTinyTasks, StopsThatDoNotFitAreSentLater) {
    add_job("job-1", 2500);
    std::vector<ReportedTask> tasks;
    for (std::uint32_t i = 0; i < 1500; ++i)
        tasks.push_back({"job-1", i, 5, TaskState::running, ExitCause::none, false});
    exchange(tasks);
    ASSERT_TRUE(controller_.cancel("job-1", start));
    const auto calls = controller_.direct_commands(start);
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_LE(json_size(wire::direct_commands_body(calls[0])), message_limit_bytes);
    auto left = empty_heartbeat(term, 1, ++agent_.sequence);
    left.tasks.assign(tasks.begin() + static_cast<std::ptrdiff_t>(calls[0].commands.size()),
                      tasks.end());
    controller_.complete_direct_call(calls[0], CommandOutcome::executed, &left, start);
    const auto more = controller_.direct_commands(start);
    ASSERT_EQ(more.size(), 1U);
    EXPECT_EQ(more[0].commands.front().index, calls[0].commands.size());
}

}  // namespace
}  // namespace bendspindle::core
