#include "core/scheduling/capacity.hpp"

#include <algorithm>

namespace bendspindle::core {

Capacity::Capacity(const MachineCatalog& catalog, const MachineInventory& inventory)
    : catalog_(catalog) {
    // Adjacent machines, in order of name, usually belong to the same group, which saves lookups.
    Resources* group_total = nullptr;
    const Machine* previous = nullptr;
    for (const auto& [name, machine] : inventory.all()) {
        if (!machine.identity.type_known || !machine.contact.has_reported || machine.draining())
            continue;
        if (!previous || previous->identity.type != machine.identity.type ||
            previous->identity.spot != machine.identity.spot ||
            previous->identity.zone != machine.identity.zone)
            group_total =
                &groups_[{machine.identity.type, machine.identity.zone, machine.identity.spot}];
        *group_total += catalog[machine.identity.type].size;
        previous = &machine;
    }
}

double Capacity::share(const JobSpec& spec, std::size_t tasks) const {
    Resources usable;
    for (const auto& [group, total] : groups_)
        if (allowed(spec, catalog_[group.type].name, group.zone, group.spot)) usable += total;
    const auto fraction = [&](double need, double available) {
        return need > 0 && available > 0 ? need * static_cast<double>(tasks) / available : 0.0;
    };
    return std::max({fraction(spec.need.cpus, usable.cpus), fraction(spec.need.gpus, usable.gpus),
                     fraction(spec.need.memory_gb, usable.memory_gb),
                     fraction(spec.need.heartbeat_bytes, usable.heartbeat_bytes)});
}

}  // namespace bendspindle::core
