#include "core/scheduling/zone_constraint.hpp"

namespace bendspindle::core {

bool ZoneConstraint::allows(std::size_t zone) const {
    if (zone >= tasks_in_zone.size()) return false;
    if (one_zone)
        for (std::size_t other = 0; other < tasks_in_zone.size(); ++other)
            if (other != zone && tasks_in_zone[other] > 0) return false;
    return !spread || tasks_in_zone[zone] + 1 <= (total_tasks + 1) / 2;
}

}  // namespace bendspindle::core
