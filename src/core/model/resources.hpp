/// Amounts of CPU, GPU, memory and heartbeat space: what machines provide and tasks require.
#pragma once

namespace bendspindle::core {

/// CPU cores, GPUs, memory in GB, and space for the tasks in the machine's heartbeats. The space is
/// set by the core (`MachineCatalog::set`, `JobTable`); neither users nor the cloud state it.
struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    double heartbeat_bytes = 0;  // upper bound, see core/model/message_size.hpp

    Resources& operator+=(const Resources& o) {
        cpus += o.cpus;
        gpus += o.gpus;
        memory_gb += o.memory_gb;
        heartbeat_bytes += o.heartbeat_bytes;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus;
        gpus -= o.gpus;
        memory_gb -= o.memory_gb;
        heartbeat_bytes -= o.heartbeat_bytes;
        return *this;
    }
    /// Returns whether `need` fits. A small tolerance absorbs the rounding errors of sums of
    /// floating-point amounts.
    [[nodiscard]] bool holds(const Resources& need) const {
        constexpr double tolerance = 1e-6;
        return need.cpus <= cpus + tolerance && need.gpus <= gpus + tolerance &&
               need.memory_gb <= memory_gb + tolerance &&
               need.heartbeat_bytes <= heartbeat_bytes + tolerance;
    }
};

[[nodiscard]] inline Resources operator+(Resources a, const Resources& b) {
    return a += b;
}
[[nodiscard]] inline Resources operator-(Resources a, const Resources& b) {
    return a -= b;
}
[[nodiscard]] inline Resources operator*(Resources a, double n) {
    return {a.cpus * n, a.gpus * n, a.memory_gb * n, a.heartbeat_bytes * n};
}

}  // namespace bendspindle::core
