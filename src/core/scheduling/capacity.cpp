#include "core/scheduling/capacity.hpp"

#include <algorithm>

namespace bendspindle::core {

Capacity::Capacity(const MachineCatalog& catalog, const MachineInventory& inventory)
    : catalog_(catalog) {
    // Neighbours by name are mostly of one group.
    Resources* sum = nullptr;
    const Machine* last = nullptr;
    for (const auto& [name, machine] : inventory.all()) {
        if (!machine.identity.type_known || !machine.contact.has_reported || machine.draining())
            continue;
        if (!last || last->identity.type != machine.identity.type ||
            last->identity.spot != machine.identity.spot ||
            last->identity.zone != machine.identity.zone)
            sum = &groups_[{machine.identity.type, machine.identity.zone, machine.identity.spot}];
        *sum += catalog[machine.identity.type].size;
        last = &machine;
    }
}

double Capacity::share(const JobSpec& spec, std::size_t tasks) const {
    Resources usable;
    for (const auto& [group, sum] : groups_)
        if (allowed(spec, catalog_[group.type].name, group.zone, group.spot)) usable += sum;
    const auto part = [&](double need, double of) {
        return need > 0 && of > 0 ? need * static_cast<double>(tasks) / of : 0.0;
    };
    return std::max({part(spec.need.cpus, usable.cpus), part(spec.need.gpus, usable.gpus),
                     part(spec.need.memory_gb, usable.memory_gb)});
}

}  // namespace bendspindle::core
