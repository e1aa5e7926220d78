// Owner of the teams' limits and guarantees: what each team uses, who is within its guarantee, and
// what that says of the order in which jobs go.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>

#include "core/catalog.hpp"
#include "core/config.hpp"
#include "core/fleet.hpp"
#include "core/pipelines.hpp"

namespace bendspindle::core {

// The teams' accounts at one moment; decisions taken since are entered with `take`.
class Standing {
  public:
    explicit Standing(const Config& config) : config_(config) {}

    // How many more of the job's tasks its team's limit allows now.
    std::uint32_t room(const Job& job) const;
    bool guaranteed(const Job& job) const { return guaranteed_.contains(job.serial); }
    // The exceptions to the order of DSMF, lower goes first: services, work within its team's
    // guarantee, then the order in which preemption would decide (docs/design.md).
    int rank(const Job& job) const;
    void take(const Job& job) { use_[job.spec.team] += job.spec.need; }

  private:
    friend class Ledger;
    const Config& config_;
    std::map<std::string, Resources> use_;
    std::unordered_set<std::uint64_t> guaranteed_;  // serials
};

class Ledger {
  public:
    Ledger(const Config& config, const Catalog& catalog, const Fleet& fleet,
           const Pipelines& pipelines)
        : config_(config), catalog_(catalog), fleet_(fleet), pipelines_(pipelines) {}
    Standing standing() const;

  private:
    const Config& config_;
    const Catalog& catalog_;
    const Fleet& fleet_;
    const Pipelines& pipelines_;
};

}  // namespace bendspindle::core
