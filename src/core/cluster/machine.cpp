#include "core/cluster/machine.hpp"

namespace bendspindle::core {

Resources Machine::used() const {
    Resources sum = untracked.resources;
    for (const auto& [key, task] : assigned_tasks) sum += task.job->spec.need;
    return sum;
}

}  // namespace bendspindle::core
