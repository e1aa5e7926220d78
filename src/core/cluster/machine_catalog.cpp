#include "core/cluster/machine_catalog.hpp"

#include <algorithm>
#include <set>

#include "core/model/message_size.hpp"

namespace bendspindle::core {

namespace {

bool allowed_in_some_zone(const JobSpec& spec, const MachineType& type) {
    return std::any_of(type.zones.begin(), type.zones.end(), [&](const std::string& zone) {
        return allowed(spec, type.name, zone, false);
    });
}

// Returns whether all tasks of a job with `spread` can run at the same time: half of them, rounded
// up, may be in one zone, so they need two.
bool fits_two_zones(const JobSpec& spec, const std::vector<MachineType>& types) {
    if (spec.one_zone) return false;
    std::set<std::string> zones;
    for (const auto& type : types)
        for (const auto& zone : type.zones)
            if (type.size.holds(spec.need) && allowed(spec, type.name, zone, false))
                zones.insert(zone);
    return zones.size() > 1;
}

}  // namespace

bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
    if (spot && !spec.spot) return false;
    if (spec.zone && *spec.zone != zone) return false;
    if (!spec.types) return true;
    return std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

Feasibility check_feasibility(const JobSpec& spec, const std::vector<Team>& teams,
                              const std::vector<MachineType>& types) {
    if (types.empty()) return Feasibility::not_ready;
    const auto team = std::find_if(teams.begin(), teams.end(),
                                   [&](const Team& t) { return t.name == spec.team; });
    if (team == teams.end()) return Feasibility::never_fits;
    const bool fits_some = std::any_of(types.begin(), types.end(), [&](const MachineType& type) {
        return type.size.holds(spec.need) && allowed_in_some_zone(spec, type);
    });
    if (!fits_some) return Feasibility::never_fits;
    // An array may run in parts.
    if (spec.spread && spec.tasks > 1 && spec.kind != Kind::array && !fits_two_zones(spec, types))
        return Feasibility::never_fits;
    // The quota must allow one task of an array, but all tasks of a gang or service at once.
    const double at_once = spec.kind == Kind::array ? 1 : spec.tasks;
    const auto& limit = team->limit;
    if (limit.cpus > 0 && spec.need.cpus * at_once > limit.cpus) return Feasibility::never_fits;
    if (limit.gpus > 0 && spec.need.gpus * at_once > limit.gpus) return Feasibility::never_fits;
    return Feasibility::fits;
}

void MachineCatalog::set(std::vector<MachineType> types) {
    types_ = std::move(types);
    for (auto& type : types_) type.size.heartbeat_bytes = static_cast<double>(max_task_list_bytes);
    index_.clear();
    for (std::size_t i = 0; i < types_.size(); ++i) index_[types_[i].name] = i;
}

Resources MachineCatalog::largest() const {
    Resources out;
    for (const auto& type : types_) {
        out.cpus = std::max(out.cpus, type.size.cpus);
        out.gpus = std::max(out.gpus, type.size.gpus);
        out.memory_gb = std::max(out.memory_gb, type.size.memory_gb);
        out.heartbeat_bytes = std::max(out.heartbeat_bytes, type.size.heartbeat_bytes);
    }
    return out;
}

std::optional<std::size_t> MachineCatalog::find(const std::string& name) const {
    const auto it = index_.find(name);
    if (it == index_.end()) return std::nullopt;
    return it->second;
}

// Guard against paying for idle GPUs: when all other machines were in use, GPU machines were scaled
// out for tasks that need no GPU. Such tasks may use existing GPU machines, but none is scaled out
// for them unless no other type can run them.
bool MachineCatalog::suits(const JobSpec& spec, const MachineType& type) const {
    if (spec.need.gpus > 0 || type.size.gpus <= 0) return true;
    return std::none_of(types_.begin(), types_.end(), [&](const MachineType& other) {
        return other.size.gpus <= 0 && other.size.holds(spec.need) &&
               allowed_in_some_zone(spec, other);
    });
}

Seconds MachineCatalog::longest_boot(const JobSpec& spec) const {
    Seconds longest{0};
    for (const auto& type : types_)
        if (type.size.holds(spec.need) && allowed_in_some_zone(spec, type))
            longest = std::max(longest, type.boot);
    return longest;
}

}  // namespace bendspindle::core
