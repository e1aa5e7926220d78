/// Owner of the jobs: which are open, where their tasks stand, which attempts were used, and what
/// of it is durable.
///
/// Called by `Controller` (users, failover), reconciliation (what machines report), scheduling
/// (assignments) and the write queue (outcomes of writes). Not thread-safe. A job's assignments and
/// the machines' `assigned_tasks` change together, here and nowhere else.
#pragma once

#include <cstdint>
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

/// What a user is answered about a job.
struct JobStatus {
    TerminalState terminal_state = TerminalState::none;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
};

/// All jobs in memory. References to a job hold until it is forgotten.
class JobTable {
  public:
    /// By serial: in order of acceptance.
    using Jobs = std::map<std::uint64_t, std::unique_ptr<Job>>;

    /// `inventory` must outlive the table. `term` makes attempts unique among leaders.
    JobTable(MachineInventory& inventory, std::uint64_t term);

    const Jobs& all() const { return jobs_; }
    /// Null where no such job is in memory: it is unknown, or was terminal and forgotten.
    [[nodiscard]] Job* find(const std::string& id);
    [[nodiscard]] const Job* find(const std::string& id) const;
    [[nodiscard]] bool knows(const std::string& id) const { return by_id_.contains(id); }

    /// A record of an older term, after a failover.
    void load(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);
    /// A record that another controller has written in this term.
    void adopt(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);
    /// A new job of a user; its record is written next. The id must be unknown.
    void accept(const JobSpec& spec, WallTime submitted, TimePoint now);
    /// Nothing where no answer can be given yet: the job, or its terminal state, is not durable.
    [[nodiscard]] std::optional<JobStatus> status(const std::string& id) const;
    /// False: it is done already or unknown.
    bool cancel(const std::string& id, TimePoint now);
    /// The key-value store holds this terminal state. It prevails, whatever is held here.
    void finished_by_record(const std::string& id, TerminalState terminal_state, TimePoint now);
    /// The write of a job's first record met one that another controller had accepted: that is the
    /// job, whatever its user sent here.
    void adopt_existing_record(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);

    /// Attempts are never used again, by no controller.
    [[nodiscard]] std::uint64_t next_attempt() { return ++next_attempt_; }
    /// Binds the job's next idle task to a machine; `assignment` says how it ranks there.
    void bind(Job& job, Machine& machine, Assignment assignment, TimePoint now);
    /// Assigns one of the job's tasks, idle before or found on its machine.
    void assign(Machine& machine, Job& job, std::uint32_t index, const Assignment& assignment);
    /// Takes the assignment back; a task that has not completed is idle again. The caller has
    /// proof that it does not run (rule ran_twice).
    void unassign(Job& job, std::uint32_t index);
    /// Its task is to be stopped, with `grace` to save. A shorter grace replaces a longer one.
    static void stop(Assignment& assignment, Seconds grace);
    /// Stops all of a job's tasks that are on machines or on their way there.
    static void stop_all(Job& job, Seconds grace);
    /// Stops a task with time to save; a gang whole and in one go, so that its progress is saved.
    /// Returns how long it may take.
    static Seconds stop_to_save(Job& job, Assignment& assignment);
    /// A task of a gang's attempt is gone: the others are of no use. Nothing for other jobs.
    void break_gang(Job& job, std::uint64_t attempt);
    /// The machine is gone, and its tasks with it. Returns how many were commanded or reported.
    [[nodiscard]] std::uint32_t mark_lost(Machine& machine);

    /// The task has completed; the tasks of a gang complete together.
    void complete(Job& job, std::uint32_t index, TimePoint now);

    /// `record`, the job's as of `version`, was written.
    void committed(Job& job, const JobRecord& record, std::uint64_t version,
                   std::uint64_t mod_revision, TimePoint now);
    /// The job's terminal state was written. `job` may be gone afterwards.
    void terminal_state_committed(Job& job);
    /// The record's mod_revision is another than assumed. Nothing where the job is unknown.
    void set_mod_revision(const std::string& id, std::uint64_t mod_revision);

    /// Its record cannot be read: its tasks are left alone.
    void quarantine(const std::string& id) { quarantined_.insert(id); }
    [[nodiscard]] bool quarantined(const std::string& id) const {
        return quarantined_.contains(id);
    }
    /// Whether the job was in a terminal state before this controller became the leader. All open
    /// jobs are in memory before the first heartbeat is handled.
    [[nodiscard]] bool is_orphaned(const std::string& id) const {
        return !knows(id) && !quarantined(id);
    }
    /// Jobs whose terminal state is durable and that are on no machine leave memory.
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
};

}  // namespace bendspindle::core
