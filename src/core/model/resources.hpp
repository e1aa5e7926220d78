/// Amounts of what machines have and tasks take.
#pragma once

namespace bendspindle::core {

/// Cores, devices and memory.
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
    /// Whether `need` fits. Amounts are decimal numbers; sums may be off in the last digits.
    [[nodiscard]] bool holds(const Resources& need) const {
        constexpr double slack = 1e-6;
        return need.cpus <= cpus + slack && need.gpus <= gpus + slack &&
               need.memory_gb <= memory_gb + slack;
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
