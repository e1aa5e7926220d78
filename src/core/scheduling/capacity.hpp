/// What the machines there are add up to, and which part of that work takes: the common measure of
/// fair-share minimums and of sharing, whatever resource the work asks for the most. Made anew for
/// each `QuotaSnapshot`; holds a reference to the catalog.
#pragma once

#include <map>
#include <vector>

#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/resources.hpp"

namespace bendspindle::core {

/// Machines that have reported and are not draining, summed by group.
class Capacity {
  public:
    Capacity(const MachineCatalog& catalog, const MachineInventory& inventory);
    /// Of the machines that such work may use, the part that this many tasks take; 1 is all. 0
    /// where there is no such machine.
    [[nodiscard]] double share(const JobSpec& spec, std::size_t tasks) const;

  private:
    // Machines of one type, zone and kind.
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
