// What the state service does not know yet: which records are to be written, in which order, and
// what a write's outcome means for their owners.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/config.hpp"
#include "core/fleet.hpp"
#include "core/job.hpp"
#include "core/pipelines.hpp"

namespace bendspindle::core {

// A record to be written. `version` and `stamp` come back with the outcome.
struct Change {
    enum class What : std::uint8_t { put_job, finish_job, put_machine, drop_machine };
    What what = What::put_job;
    std::string id;
    std::uint64_t version = 0;
    std::uint64_t stamp = 0;
    JobRecord job;
    ListedMachine machine;
};

class PendingChanges {
  public:
    PendingChanges(const Config& config, Fleet& fleet, Pipelines& pipelines)
        : config_(config), fleet_(fleet), pipelines_(pipelines) {}

    // Cancellations and final states first, then new jobs, then machines, then done-sets, which
    // wait a moment for company.
    std::vector<Change> due(std::size_t most_operations, TimePoint now) const;
    // They are about to be written. Returns the jobs whose final state is sent for the first time.
    std::vector<std::string> sent(const std::vector<Change>& changes);
    // The only write of these jobs' final states so far was certainly not carried out.
    void not_executed(const std::vector<std::string>& finals);
    void written(const std::vector<Change>& changes, std::uint64_t stamp, TimePoint now);
    // Until then no job is recorded as over, and so nobody tells a user that one is.
    void hold_finals_until(TimePoint until) { finals_from_ = until; }
    // The record's stamp is another than thought: an earlier write went through unnoticed.
    void restamp(Change::What what, const std::string& id, std::uint64_t stamp);

  private:
    class Gathering;
    enum class Pass : std::uint8_t { finals, new_jobs, done_sets };
    bool belongs(const Job& job, Pass pass, TimePoint now) const;
    void gather_jobs(Gathering& gathering, Pass pass, TimePoint now) const;
    void gather_machines(Gathering& gathering) const;

    const Config& config_;
    Fleet& fleet_;
    Pipelines& pipelines_;
    TimePoint finals_from_{};
};

}  // namespace bendspindle::core
