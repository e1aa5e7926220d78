/// Amounts of CPU, GPU and memory: what machines provide and tasks require.
#pragma once

namespace bendspindle::core {

/// CPU cores, GPUs and memory in GB.
struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;

    Resources& operator+=(const Resources& o) {
        cpus += o.cpus;
        gpus += o.gpus;
        memory_gb += o.memory_gb;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus;
        gpus -= o.gpus;
        memory_gb -= o.memory_gb;
        return *this;
    }
    /// Returns whether `need` fits. A small tolerance absorbs the rounding errors of sums of
    /// floating-point amounts.
    [[nodiscard]] bool holds(const Resources& need) const {
        constexpr double tolerance = 1e-6;
        return need.cpus <= cpus + tolerance && need.gpus <= gpus + tolerance &&
               need.memory_gb <= memory_gb + tolerance;
    }
};

[[nodiscard]] inline Resources operator+(Resources a, const Resources& b) {
    return a += b;
}
[[nodiscard]] inline Resources operator-(Resources a, const Resources& b) {
    return a -= b;
}
[[nodiscard]] inline Resources operator*(Resources a, double n) {
    return {a.cpus * n, a.gpus * n, a.memory_gb * n};
}

}  // namespace bendspindle::core
