// Type the state service does not know yet: which records are to be written, in which order, and
// what a write's outcome means for their owners.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/cluster/job.hpp"
#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"

namespace bendspindle::core {

// A record to be written. `version` and `mod_revision` come back with the outcome.
struct RecordWrite {
    enum class Type : std::uint8_t { put_job, finish_job, put_machine, drop_machine };
    Type type = Type::put_job;
    std::string id;
    std::uint64_t version = 0;
    std::uint64_t mod_revision = 0;
    JobRecord job;
    ListedMachine machine;
};

class WriteQueue {
  public:
    WriteQueue(const Config& config, MachineInventory& inventory, JobTable& pipelines)
        : config_(config), inventory_(inventory), job_table_(pipelines) {}

    // Cancellations and final states first, then new jobs, then machines, then done-sets, which
    // wait a moment for company.
    std::vector<RecordWrite> due(std::size_t most_operations, TimePoint now) const;
    // They are about to be written. Returns the jobs whose final state is sent for the first time.
    std::vector<std::string> sent(const std::vector<RecordWrite>& changes);
    // The only write of these jobs' final states so far was certainly not carried out.
    void not_executed(const std::vector<std::string>& terminal_states);
    void written(const std::vector<RecordWrite>& changes, std::uint64_t mod_revision,
                 TimePoint now);
    // Until then no job is recorded as over, and so nobody tells a user that one is.
    void hold_terminal_states_until(TimePoint until) { finals_from_ = until; }
    // The record's mod_revision is another than thought: an earlier write went through unnoticed.
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
    TimePoint finals_from_{};
};

}  // namespace bendspindle::core
