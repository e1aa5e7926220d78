/// Changes that the key-value store does not hold yet: which records are to be written, in which
/// order, and what a write's outcome means for their owners. Called through `Controller` by the
/// state writer. Keeps no list of its own: what is due follows from the records' states of jobs and
/// machines, so that nothing is lost when a write fails.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/cluster/job.hpp"
#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/model/listed_machine.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// A record to be written, on the condition that `mod_revision` is still the record's (0: there is
/// none). `version` comes back with the outcome.
struct RecordWrite {
    enum class Type : std::uint8_t { put_job, finish_job, put_machine, drop_machine };
    Type type = Type::put_job;
    std::string id;
    std::uint64_t version = 0;
    std::uint64_t mod_revision = 0;
    JobRecord job;
    ListedMachine machine;
};

/// What it was given must outlive it.
class WriteQueue {
  public:
    WriteQueue(const Config& config, MachineInventory& inventory, JobTable& job_table)
        : config_(config), inventory_(inventory), job_table_(job_table) {}

    /// Terminal states first, then new jobs, then machines, then done-sets, which wait a moment to
    /// be written together.
    [[nodiscard]] std::vector<RecordWrite> due(std::size_t most_operations, TimePoint now) const;
    /// They are about to be written. Returns the jobs whose terminal state is sent for the first
    /// time.
    std::vector<std::string> sent(const std::vector<RecordWrite>& changes);
    /// The only write so far of these jobs' terminal states was certainly not carried out.
    void rejected(const std::vector<std::string>& terminal_states);
    /// They were written, under this mod_revision.
    void committed(const std::vector<RecordWrite>& changes, std::uint64_t mod_revision,
                   TimePoint now);
    /// Until then no job's terminal state is written, and so no user is answered one.
    void hold_terminal_states_until(TimePoint until) { terminal_states_from_ = until; }
    /// The record's mod_revision is another than assumed: an earlier write was carried out
    /// unnoticed.
    void set_mod_revision(RecordWrite::Type type, const std::string& id,
                          std::uint64_t mod_revision);

  private:
    class Gathering;
    enum class Pass : std::uint8_t { terminal_states, new_jobs, done_sets };
    bool belongs(const Job& job, Pass pass, TimePoint now) const;
    void gather_jobs(Gathering& gathering, Pass pass, TimePoint now) const;
    void gather_machines(Gathering& gathering) const;

    const Config& config_;
    MachineInventory& inventory_;
    JobTable& job_table_;
    TimePoint terminal_states_from_{};
};

}  // namespace bendspindle::core
