/// The total resources of the cluster, and the share of them that tasks use. Shares are the common
/// measure of fair-share minimums and makespan stretch: the share of a set of tasks is that of the
/// resource of which they need the largest fraction. Computed for each `QuotaSnapshot`; holds a
/// reference to the catalog.
#pragma once

#include <map>
#include <vector>

#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/resources.hpp"

namespace bendspindle::core {

/// The resources of all machines that have reported and are not draining, summed by group.
class Capacity {
  public:
    Capacity(const MachineCatalog& catalog, const MachineInventory& inventory);
    /// Returns the share that `tasks` tasks of the job use of the machines allowed for the job: 1
    /// is all of them. Returns 0 if there is no such machine.
    [[nodiscard]] double share(const JobSpec& spec, std::size_t tasks) const;

  private:
    // Machines of one type and zone, either all spot or all on-demand.
    struct Group {
        std::size_t type;
        std::string zone;
        bool spot;
        auto operator<=>(const Group&) const = default;
    };
    const MachineCatalog& catalog_;
    std::map<Group, Resources> groups_;
};

}  // namespace bendspindle::core
