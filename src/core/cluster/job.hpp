/// One accepted job: what its user asked for, where its tasks stand, and what of that is durable.
///
/// Owned by `JobTable`, which alone adds and removes assignments and changes phases. Reconciliation
/// takes assignments through their stages; scheduling, failure attribution and the write queue
/// write the part named for them below. Plain data without locks.
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

/// `none`: the job is open. A terminal state is never left, nor exchanged for the other, except
/// where the key-value store turns out to hold the other one (`JobTable::finished_by_record`).
enum class TerminalState : std::uint8_t { none, done, cancelled };

/// First and last task, both included.
struct TaskRange {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    bool operator==(const TaskRange&) const = default;
};

/// The durable form of a job, as it stands in the key-value store.
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
///     idle -> placed   assigned to a machine, or found running there
///     placed -> idle   unassigned: shown gone, or its machine is
///     any -> done      it has completed; tasks of a gang complete together
///     any -> durable   a done-set that holds it was written, or read after a failover
///
/// `done` and `durable` are never left (rule went_back): a completed task is not placed again.
enum class TaskPhase : std::uint8_t { idle, placed, done, durable };

/// A task's place on a machine, from the decision until the task is shown gone.
struct Assignment {
    /// State machine of an assignment:
    ///
    ///     bound -> commanded      a start went out
    ///     commanded -> reported   the machine's task list shows the task
    ///     commanded -> bound      the start was rejected, or certainly never took effect
    ///
    /// A bound one may be withdrawn at any time. One that is commanded or reported is removed only
    /// when a fenced machine's task list shows the task gone, or the machine is (rule ran_twice).
    enum class Stage : std::uint8_t { bound, commanded, reported };
    std::string machine;
    std::uint64_t attempt = 0;
    Stage stage = Stage::bound;
    TaskState state = TaskState::fetching;
    std::uint64_t started_in_agent_epoch = 0;
    // The start went out in a direct call whose outcome is not known: the call may still be on its
    // way, so the task's absence from a task list proves nothing.
    bool direct_start_unsettled = false;
    TimePoint since{};  // of the stage
    TimePoint bound_at{};
    TimePoint commanded_at{};  // unset: adopted from a former leader
    TimePoint reported_at{};
    TimePoint running_since{};  // when it was first seen running
    // Stopping.
    bool stopping = false;
    Seconds grace{0};  // to save its progress
    TimePoint stop_sent_at{};
    // Others were preempted for it: it keeps its place until then.
    TimePoint reserved_until{};
    // Ready list order: DSMF's makespan, then RPM; `rank` holds the exceptions.
    int rank = 0;
    Seconds makespan{0};
    Seconds rpm{0};
};

/// Failures on this many machines speak against the job, fewer against the machines.
inline constexpr std::size_t machines_against_a_job = 2;

/// Where the tasks stand. The counts always agree with `phase`; `Job::set_phase` changes both.
struct JobProgress {
    std::vector<TaskPhase> phase;  // by task
    std::uint32_t finished = 0;    // tasks that are done or durable
    std::uint32_t placed = 0;      // tasks whose phase is `placed`
    std::uint32_t first_idle = 0;  // no task before this one is idle
    bool started = false;          // all tasks of a gang, or one of an array, have run at once
};

/// Its terminal state, and who may know of it. `durable` implies `state != none`.
struct JobTermination {
    TerminalState state = TerminalState::none;
    bool durable = false;
    // A write of it may have been carried out, or may yet be: until it is durable, no state of the
    // job is answered (rule went_back).
    bool sent = false;
    TimePoint cancelled_at{};
};

/// Its record in the key-value store (`WriteQueue`). The record is up to date where
/// `version == durable_version`.
struct JobRecordState {
    bool durable = false;
    TimePoint durable_at{};
    // Its first write met a record that another controller had written before.
    bool found_in_store = false;
    std::uint64_t mod_revision = 0;     // 0: no record yet
    std::uint64_t version = 0;          // counts changes of what the record holds
    std::uint64_t durable_version = 0;  // the change that is durable
    TimePoint changed_at{};             // since when changes wait; anew after each write
};

/// Tries that failed (`FailureAttribution`). A job that fails on one machine only is not blamed.
struct JobFailures {
    std::uint32_t tries_in_a_row = 0;
    std::set<std::string> machines;  // on which it failed
    TimePoint last_at{};
    TimePoint retry_not_before{};
};

/// How long it has been kept waiting (scheduling). `starved` and `started_under_minimum_share`
/// are never taken back.
struct JobStarvation {
    // Since when it has waited without any of it being started; none: it is not waiting.
    std::optional<TimePoint> waiting_since;
    // It has once waited so long that its team's guarantee comes first.
    bool starved = false;
    // Was placed within a fair-share minimum, and keeps its protection. Guard: a class whose job
    // had just been started starved no more, and the job was preempted again for those who had
    // kept it waiting.
    bool started_under_minimum_share = false;
};

/// Of its own tasks that have completed, recent ones weighing more.
struct JobRunTimes {
    Seconds mean{0};
    std::uint32_t count = 0;
};

/// An open job, or one in a terminal state that still has tasks on machines or is not durable.
struct Job {
    JobSpec spec;
    std::uint64_t serial = 0;  // order of acceptance here
    ImageId image = 0;         // of the spec's image
    WallTime submitted{};
    TimePoint accepted_at{};
    // No older term can have started any of it.
    bool accepted_this_term = false;
    std::uint64_t last_attempt = 0;
    /// By task: those in phase `placed`, and those found on machines though finished.
    std::map<std::uint32_t, Assignment> assignments;
    JobProgress progress;
    JobTermination terminal;
    JobRecordState record;
    JobFailures failures;
    JobStarvation starvation;
    JobRunTimes run_times;

    /// Tasks that may be bound.
    [[nodiscard]] std::uint32_t idle_count() const {
        return spec.tasks - progress.finished - progress.placed;
    }
    /// Keeps the counts of `progress` right.
    void set_phase(std::uint32_t index, TaskPhase to);
    [[nodiscard]] bool is_terminal() const { return terminal.state != TerminalState::none; }
    /// Fails on every machine so far: submitted with a mistake, perhaps.
    [[nodiscard]] bool suspect() const {
        return failures.machines.size() >= machines_against_a_job && progress.finished == 0;
    }
    /// How many of its tasks are tried at once.
    [[nodiscard]] std::uint32_t tasks_tried_at_once() const {
        return suspect() && spec.kind != Kind::gang ? 1 : spec.tasks;
    }
    /// The first idle task; the number of tasks if there is none.
    std::uint32_t next_idle();
};

/// The tasks that have completed, durable or not.
[[nodiscard]] std::vector<TaskRange> done_ranges(const Job& job);
/// Sets the phase of all tasks in the ranges, as far as the job has them.
void mark_done(Job& job, const std::vector<TaskRange>& ranges, TaskPhase as);
/// The record as of now; `home` names the controller that writes it.
[[nodiscard]] JobRecord to_record(const Job& job, const std::string& home);

}  // namespace bendspindle::core
