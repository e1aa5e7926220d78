// The placing cycle: a snapshot for DSMF, its decisions taken over, then preemption for what is
// left waiting. Decides where tasks go on the ordinary path, and nothing else does.
#pragma once

#include <vector>

#include "core/catalog.hpp"
#include "core/config.hpp"
#include "core/dsmf.hpp"
#include "core/estimates.hpp"
#include "core/fleet.hpp"
#include "core/ledger.hpp"
#include "core/pipelines.hpp"
#include "core/preemption.hpp"

namespace bendspindle::core {

class Placing {
  public:
    Placing(const Config& config, const Catalog& catalog, Fleet& fleet, Pipelines& pipelines,
            const Estimates& estimates, const Ledger& ledger, Preemption& preemption)
        : config_(config),
          catalog_(catalog),
          fleet_(fleet),
          pipelines_(pipelines),
          estimates_(estimates),
          ledger_(ledger),
          preemption_(preemption) {}

    void cycle(TimePoint now);

  private:
    // What DSMF sees, and what its indices mean.
    struct Snapshot {
        std::vector<Machine*> machines;
        std::vector<dsmf::Machine> views;
        std::vector<Job*> jobs;
        std::vector<dsmf::Pipeline> pipelines;
    };
    void unbind_all(TimePoint now);
    void break_partial_gangs();
    dsmf::Machine view_of(const Machine& machine, TimePoint now) const;
    void see_machines(Snapshot& snapshot, TimePoint now);
    void see_jobs(Snapshot& snapshot, const Standing& standing, TimePoint now) const;
    dsmf::EligibleJob eligible(const Job& job, std::uint32_t tasks, bool floored,
                               const Snapshot& snapshot, TimePoint now) const;
    // Machines on which it has failed.
    std::vector<std::size_t> barred(const Job& job, const Snapshot& snapshot) const;
    // Stretches makespans where more is asked for than there is.
    void share_out(Snapshot& snapshot, const Standing& standing) const;
    void bind(const dsmf::Result& result, const Snapshot& snapshot, Standing& standing,
              TimePoint now);

    const Config& config_;
    const Catalog& catalog_;
    Fleet& fleet_;
    Pipelines& pipelines_;
    const Estimates& estimates_;
    const Ledger& ledger_;
    Preemption& preemption_;
};

}  // namespace bendspindle::core
