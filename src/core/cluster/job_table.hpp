// Owner of the jobs: which are open, where their tasks stand, which attempts were used, what of
// it is durable. A placement and the machine's list of what it holds change together, here.
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

namespace bendspindle::core {

struct JobStatus {
    TerminalState terminal_state = TerminalState::none;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
};

class JobTable {
  public:
    using Jobs = std::map<std::uint64_t, std::unique_ptr<Job>>;  // by serial: order of acceptance

    JobTable(MachineInventory& inventory, std::uint64_t term);

    const Jobs& all() const { return jobs_; }
    Job* find(const std::string& id);
    const Job* find(const std::string& id) const;
    bool knows(const std::string& id) const { return by_id_.contains(id); }

    // A record of an older term.
    void load(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);
    // A record that another controller has written in this term.
    void learn(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);
    void accept(const JobSpec& spec, WallTime submitted, TimePoint now);
    std::optional<JobStatus> status(const std::string& id) const;
    // False: it is done already or unknown.
    bool cancel(const std::string& id, TimePoint now);
    // The state service holds this final state. It has the last word, whatever is held here.
    void finished_by_record(const std::string& id, TerminalState terminal_state, TimePoint now);
    // The write of a job's first record found one that another controller has accepted: that is the
    // job, whatever its user sent here.
    void found_elsewhere(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);

    // Attempts are never used again, by no controller.
    std::uint64_t next_attempt() { return ++next_attempt_; }
    // Binds the job's next idle task to a machine; the placement says how it ranks there.
    void bind(Job& job, Machine& machine, Assignment assignment, TimePoint now);
    // Takes one of the job's tasks, idle before or found on its machine.
    void hold(Machine& machine, Job& job, std::uint32_t index, const Assignment& assignment);
    void drop(Job& job, std::uint32_t index);
    // Its task is to be stopped, with time to save. A shorter grace replaces a longer one.
    static void stop(Assignment& assignment, Seconds grace);
    // All of a job's tasks that are on machines or on their way there.
    static void stop_all(Job& job, Seconds grace);
    // Stops a task with time to save; a gang whole and in one go, so that its progress is saved.
    // Returns how long it may take.
    static Seconds stop_to_save(Job& job, Assignment& assignment);
    // A task of a gang's attempt is gone: the others are of no use.
    void break_gang(Job& job, std::uint64_t attempt);
    // What a machine held is gone with it. Counts tasks that were ordered or on it.
    std::uint32_t lose(Machine& machine);

    // The task has completed; the tasks of a gang complete together.
    void complete(Job& job, std::uint32_t index, TimePoint now);

    void written(Job& job, const JobRecord& record, std::uint64_t version,
                 std::uint64_t mod_revision, TimePoint now);
    void terminal_state_written(Job& job);
    void set_mod_revision(const std::string& id, std::uint64_t mod_revision);
    // Jobs whose record cannot be read: their tasks are left alone.
    void quarantine(const std::string& id) { quarantined_.insert(id); }
    bool quarantined(const std::string& id) const { return quarantined_.contains(id); }
    // Of a job that was over when this controller took over.
    bool is_orphaned(const std::string& id) const { return !knows(id) && !quarantined(id); }
    // Jobs that are over and nowhere any more leave memory.
    void forget_if_over(Job& job);
    void forget_all_over();

  private:
    Job& add(std::unique_ptr<Job> job);
    void forget(Job& job);
    static void changed(Job& job, TimePoint now);
    void finish(Job& job, TerminalState terminal_state, TimePoint now);

    MachineInventory& inventory_;
    std::uint64_t next_attempt_ = 0;
    std::uint64_t next_serial_ = 0;
    Jobs jobs_;
    std::unordered_map<std::string, Job*> by_id_;
    std::set<std::string> quarantined_;
};

}  // namespace bendspindle::core
