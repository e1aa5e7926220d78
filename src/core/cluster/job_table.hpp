/// Owner of the jobs: which jobs are open, the progress of their tasks, the attempt numbers in use,
/// and which of this state is durable.
///
/// Called by `Controller` (user requests, failover), reconciliation (agent reports), scheduling
/// (assignments) and the write queue (outcomes of writes). Not thread-safe. Only this class changes
/// the assignments of jobs and the `assigned_tasks` of machines, always together.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/cluster/job.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// The status of a job as reported to its user.
struct JobStatus {
    TerminalState terminal_state = TerminalState::none;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
};

/// All jobs in memory. References to a job stay valid until it is forgotten.
class JobTable {
  public:
    /// Indexed by serial, that is, in order of acceptance.
    using Jobs = std::map<std::uint64_t, std::unique_ptr<Job>>;

    /// `inventory` must outlive the table. `term` makes attempt numbers unique across leaders.
    JobTable(MachineInventory& inventory, std::uint64_t term);

    const Jobs& all() const { return jobs_; }
    /// Returns null if the job is not in memory: it is unknown, or it was terminal and has been
    /// forgotten.
    [[nodiscard]] Job* find(const std::string& id);
    [[nodiscard]] const Job* find(const std::string& id) const;
    [[nodiscard]] bool knows(const std::string& id) const { return by_id_.contains(id); }

    /// Loads a record of an older term after a failover.
    void load(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);
    /// Adopts a record that another controller has written in this term.
    void adopt(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);
    /// Adds a new job, whose record is written next. The id must be unknown.
    void accept(const JobSpec& spec, WallTime submitted, TimePoint now);
    /// Returns nothing if the job is unknown, or if the job or its terminal state is not durable
    /// yet.
    [[nodiscard]] std::optional<JobStatus> status(const std::string& id) const;
    /// Cancels a job. Returns false if the job is done or unknown.
    bool cancel(const std::string& id, TimePoint now);
    /// Applies a terminal state found in the key-value store, which takes precedence over the state
    /// in memory.
    void apply_recorded_terminal_state(const std::string& id, TerminalState terminal_state,
                                       TimePoint now);
    /// Replaces a job by the existing record that its first write found: a job of this id was
    /// accepted by another controller, and its specification applies.
    void adopt_existing_record(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);

    /// Returns an attempt number that no controller has used or will use.
    [[nodiscard]] std::uint64_t next_attempt() { return ++next_attempt_; }
    /// Returns whether this leader assigned the attempt number, in this term.
    [[nodiscard]] bool is_of_this_term(std::uint64_t attempt) const;
    /// Binds the job's next idle task to a machine. `assignment` gives its order in the ready list.
    void bind(Job& job, Machine& machine, Assignment assignment, TimePoint now);
    /// Assigns a task of the job to a machine; the task was idle or was found on that machine.
    void assign(Machine& machine, Job& job, std::uint32_t index, const Assignment& assignment);
    /// Removes an assignment; a task that has not completed becomes idle again. Requires proof that
    /// the task is not running (rule ran_twice).
    void unassign(Job& job, std::uint32_t index);
    /// Removes the assignment of an attempt that has ended or never began, as `unassign` does.
    /// Unless the job is terminal, the rest of its gang's attempt is aborted.
    void end_attempt(Job& job, std::uint32_t index);
    /// Requests that a task be stopped, with `grace` to save a checkpoint. A shorter grace replaces
    /// a longer one.
    static void stop(Assignment& assignment, Seconds grace);
    /// Stops all tasks of a job that are on machines or whose start was commanded.
    static void stop_all(Job& job, Seconds grace);
    /// Stops a task with time to save a checkpoint. All tasks of a gang are stopped together, so
    /// that their progress is saved. Returns the grace period.
    static Seconds stop_gracefully(Job& job, Assignment& assignment);
    /// Stops and unbinds the remaining tasks of a gang's attempt after one of them is gone. Does
    /// nothing for jobs that are not gangs.
    void abort_gang_attempt(Job& job, std::uint64_t attempt);
    /// Unassigns all tasks of a machine that is gone. Returns how many of them were commanded or
    /// reported.
    [[nodiscard]] std::uint32_t mark_lost(Machine& machine);

    /// Marks a task as completed; the tasks of a gang complete together.
    void complete(Job& job, std::uint32_t index, TimePoint now);

    /// Records that `record`, the state of the job as of `version`, was written.
    void mark_committed(Job& job, const JobRecord& record, std::uint64_t version,
                        std::uint64_t mod_revision, TimePoint now);
    /// Records that the terminal state of the job was written. May destroy `job`.
    void mark_terminal_state_committed(Job& job);
    /// Sets the actual mod_revision of a record, where it differs from the expected one. Does
    /// nothing if the job is unknown.
    void set_mod_revision(const std::string& id, std::uint64_t mod_revision);

    /// Forgets a job that has no record, because the key-value store refuses its record for good.
    /// Does nothing if the job is unknown or recorded.
    void refuse(const std::string& id);
    /// Returns whether `refuse` forgot a job of this id, and none was accepted since. Only the
    /// last ones are remembered, for the user requests that wait for their records.
    [[nodiscard]] bool was_refused(const std::string& id) const;

    /// Marks a job whose record cannot be read; its tasks are left alone.
    void quarantine(const std::string& id) { quarantined_.insert(id); }
    [[nodiscard]] bool quarantined(const std::string& id) const {
        return quarantined_.contains(id);
    }
    /// Returns whether the job had reached a terminal state before this controller became the
    /// leader. All open jobs are in memory before the first heartbeat is handled.
    [[nodiscard]] bool is_orphaned(const std::string& id) const {
        return !knows(id) && !quarantined(id);
    }
    /// Removes jobs from memory whose terminal state is durable and that have no assignments.
    void forget_if_terminal(Job& job);
    void forget_all_terminal();

  private:
    Job& add(std::unique_ptr<Job> job);
    void forget(Job& job);
    static void mark_changed(Job& job, TimePoint now);
    void finish(Job& job, TerminalState terminal_state, TimePoint now);

    MachineInventory& inventory_;
    std::uint64_t next_attempt_ = 0;
    std::uint64_t next_serial_ = 0;
    Jobs jobs_;
    std::unordered_map<std::string, Job*> by_id_;
    std::set<std::string> quarantined_;
    std::deque<std::string> refused_;  // oldest first
};

}  // namespace bendspindle::core
