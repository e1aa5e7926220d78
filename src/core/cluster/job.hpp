/// An accepted job: its specification, the progress of its tasks, and which of its state is
/// durable.
///
/// `JobTable` owns all jobs and alone adds and removes assignments and changes task phases.
/// Reconciliation advances assignments through their stages. Scheduling, failure attribution and
/// the write queue write the members that are documented as theirs below. Plain data without locks.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/heartbeat.hpp"
#include "core/model/image.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// `none` means that the job is open. A job never leaves a terminal state, nor does it change from
/// one terminal state to the other, unless the key-value store turns out to hold the other one
/// (`JobTable::apply_recorded_terminal_state`).
enum class TerminalState : std::uint8_t { none, done, cancelled };

/// A range of task indices; both ends are inclusive.
struct TaskRange {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    bool operator==(const TaskRange&) const = default;
};

/// The durable form of a job, as stored in the key-value store.
struct JobRecord {
    JobSpec spec;
    std::string home;
    WallTime submitted{};
    std::uint64_t last_attempt = 0;
    std::vector<TaskRange> done;
    TerminalState terminal_state = TerminalState::none;
};

/// State machine of a task:
///
///     idle -> placed   assigned to a machine, or found running on one
///     placed -> idle   unassigned: the task or its machine is proven gone
///     any -> done      completed; the tasks of a gang complete together
///     any -> durable   a done-set that contains it was written, or read after a failover
///
/// A task never leaves `done` or `durable` (rule went_back): a completed task is not placed again.
enum class TaskPhase : std::uint8_t { idle, placed, done, durable };

/// The placement of a task on a machine, from the placement decision until the task is proven gone.
struct Assignment {
    /// State machine of an assignment:
    ///
    ///     bound -> commanded      a start command was sent
    ///     commanded -> reported   the machine's task list contains the task
    ///     commanded -> bound      the start was rejected, or certainly never took effect
    ///
    /// A bound assignment may be withdrawn at any time. A commanded or reported one is removed only
    /// when the task list of a fenced machine shows that the task is gone, or when the machine
    /// itself is gone (rule ran_twice).
    enum class Stage : std::uint8_t { bound, commanded, reported };
    std::string machine;
    std::uint64_t attempt = 0;
    Stage stage = Stage::bound;
    TaskState state = TaskState::fetching;
    std::uint64_t started_in_agent_epoch = 0;
    // The start was sent in a direct call whose outcome is unknown. The call may still be in
    // flight, so the absence of the task from a task list proves nothing.
    bool direct_start_unsettled = false;
    TimePoint stage_entered_at{};  // when the current stage was entered
    TimePoint bound_at{};
    TimePoint commanded_at{};  // unset if adopted from a former leader
    TimePoint reported_at{};
    TimePoint running_since{};  // when the task was first seen running
    // Stop request.
    bool stopping = false;
    Seconds grace{0};  // time to save a checkpoint
    TimePoint stop_sent_at{};
    // Other tasks were preempted for this one, which keeps its reservation until then.
    TimePoint reserved_until{};
    // Order in the ready list: by DSMF makespan, then by RPM. `rank` overrides both.
    int rank = 0;
    Seconds makespan{0};
    Seconds rpm{0};
};

/// A job that has failed on at least this many machines is suspect; with fewer, the machines are
/// blamed.
inline constexpr std::size_t suspect_machine_threshold = 2;

/// Progress of the tasks. `Job::set_phase` keeps the counts consistent with `phase`.
struct JobProgress {
    std::vector<TaskPhase> phase;  // indexed by task
    std::uint32_t finished = 0;    // tasks that are done or durable
    std::uint32_t placed = 0;      // tasks in phase `placed`
    std::uint32_t first_idle = 0;  // no task with a lower index is idle
    bool started = false;  // all tasks of a gang, or one of an array, have run at the same time
};

/// The terminal state and whether it may be disclosed. `durable` implies `state != none`.
struct JobTermination {
    TerminalState state = TerminalState::none;
    bool durable = false;
    // A write of the terminal state may have been carried out, or may still be. Until the terminal
    // state is durable, no state of the job is reported to users (rule went_back).
    bool write_sent = false;
    TimePoint cancelled_at{};
};

/// State of the job's record in the key-value store (`WriteQueue`). The record is up to date if
/// `version == durable_version`.
struct JobRecordState {
    bool durable = false;
    TimePoint durable_at{};
    // The first write of the record found one that another controller had written before.
    bool found_in_store = false;
    std::uint64_t mod_revision = 0;     // 0: no record yet
    std::uint64_t version = 0;          // counts changes to the content of the record
    std::uint64_t durable_version = 0;  // the version that is durable
    TimePoint changed_at{};  // when the oldest unwritten change was made; reset after each write
};

/// Failed attempts (`FailureAttribution`). A job that has failed on one machine only is not blamed.
struct JobFailures {
    std::uint32_t consecutive_failures = 0;
    std::set<std::string> machines;  // on which the job failed
    TimePoint last_at{};
    TimePoint retry_not_before{};
};

/// How long the job has been waiting (scheduling). `starved` and `started_under_minimum_share` are
/// never reset.
struct JobStarvation {
    // Start of the current wait, during which no task was started; empty if the job is not waiting.
    std::optional<TimePoint> waiting_since;
    // The job has once waited so long that its team's guarantee takes precedence.
    bool starved = false;
    // The job was placed within a fair-share minimum and keeps its preemption protection. Without
    // it, a class was no longer starved as soon as one of its jobs had started, and that job was
    // preempted again by the jobs that had kept it waiting.
    bool started_under_minimum_share = false;
};

/// Run time of the job's own completed tasks; recent tasks weigh more.
struct JobRunTimes {
    Seconds mean{0};
    std::uint32_t count = 0;
};

/// An open job, or a terminal one that still has tasks on machines or whose terminal state is not
/// durable.
struct Job {
    JobSpec spec;
    std::uint64_t serial = 0;  // order of acceptance by this controller
    ImageId image = 0;         // id of `spec.image`
    WallTime submitted{};
    TimePoint accepted_at{};
    // No leader of an older term can have started any task of the job.
    bool accepted_this_term = false;
    std::uint64_t last_attempt = 0;
    /// Indexed by task: the tasks in phase `placed`, and finished tasks that were found on
    /// machines.
    std::map<std::uint32_t, Assignment> assignments;
    JobProgress progress;
    JobTermination terminal;
    JobRecordState record;
    JobFailures failures;
    JobStarvation starvation;
    JobRunTimes run_times;

    /// Returns the number of tasks that may be bound.
    [[nodiscard]] std::uint32_t idle_count() const {
        return spec.tasks - progress.finished - progress.placed;
    }
    /// Changes the phase of a task and updates the counts of `progress`.
    void set_phase(std::uint32_t index, TaskPhase to);
    [[nodiscard]] bool is_terminal() const { return terminal.state != TerminalState::none; }
    /// Returns whether the job has failed on several machines without completing a task, which
    /// suggests an error in the job itself.
    [[nodiscard]] bool is_suspect() const {
        return failures.machines.size() >= suspect_machine_threshold && progress.finished == 0;
    }
    /// Returns how many tasks of the job may be placed at the same time; one at a time for a
    /// suspect job.
    [[nodiscard]] std::uint32_t max_concurrent_tasks() const {
        return is_suspect() && spec.kind != Kind::gang ? 1 : spec.tasks;
    }
    /// Returns the first idle task, or the number of tasks if none is idle.
    std::uint32_t find_first_idle();
};

/// Returns the tasks that have completed, durable or not.
[[nodiscard]] std::vector<TaskRange> done_ranges(const Job& job);
/// Sets the phase of the tasks in the ranges; indices beyond the job's tasks are ignored.
void mark_done(Job& job, const std::vector<TaskRange>& ranges, TaskPhase as);
/// Returns the current record of the job. `home` names the controller that writes it.
[[nodiscard]] JobRecord to_record(const Job& job, const std::string& home);

}  // namespace bendspindle::core
