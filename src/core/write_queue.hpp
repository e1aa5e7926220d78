/// Changes that are not in the key-value store yet: which records have to be written, in which
/// order, and what the outcome of a write means for their owners. Called by the state writer
/// through `Controller`. Keeps no list of its own: due writes are derived from the record states of
/// jobs and machines, so a failed write loses nothing.
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

/// A conditional write of a record, which succeeds only if `mod_revision` is still current (0: no
/// record exists). `version` is passed back with the outcome.
struct RecordWrite {
    enum class Type : std::uint8_t { put_job, finish_job, put_machine, delete_machine };
    Type type = Type::put_job;
    std::string id;
    std::uint64_t version = 0;
    std::uint64_t mod_revision = 0;
    JobRecord job;
    ListedMachine machine;
};

/// Derives due writes and applies their outcomes. All constructor arguments must outlive the queue.
class WriteQueue {
  public:
    WriteQueue(const Config& config, MachineInventory& inventory, JobTable& job_table)
        : config_(config), inventory_(inventory), job_table_(job_table) {}

    /// Returns the writes that are due: terminal states first, then new jobs, then machines, then
    /// done-sets, which are delayed briefly so that several are written together.
    [[nodiscard]] std::vector<RecordWrite> due(std::size_t max_operations, TimePoint now) const;
    /// Records that the writes are about to be sent. Returns the jobs whose terminal state is sent
    /// for the first time.
    std::vector<std::string> mark_sent(const std::vector<RecordWrite>& writes);
    /// Records that the only write so far of these jobs' terminal states was certainly not carried
    /// out.
    void mark_rejected(const std::vector<std::string>& terminal_states);
    /// Records that the writes succeeded with this mod_revision.
    void mark_committed(const std::vector<RecordWrite>& writes, std::uint64_t mod_revision,
                        TimePoint now);
    /// Delays all writes of terminal states until the given time, so that none is reported to users
    /// before.
    void hold_terminal_states_until(TimePoint until) { terminal_states_not_before_ = until; }
    /// Sets the actual mod_revision of a record, which differs from the expected one because an
    /// earlier write succeeded without this controller noticing.
    void set_mod_revision(RecordWrite::Type type, const std::string& id,
                          std::uint64_t mod_revision);

  private:
    class WriteBatch;
    enum class Pass : std::uint8_t { terminal_states, new_jobs, done_sets };
    bool is_due(const Job& job, Pass pass, TimePoint now) const;
    void add_jobs(WriteBatch& batch, Pass pass, TimePoint now) const;
    void add_machines(WriteBatch& batch) const;

    const Config& config_;
    MachineInventory& inventory_;
    JobTable& job_table_;
    TimePoint terminal_states_not_before_{};
};

}  // namespace bendspindle::core
