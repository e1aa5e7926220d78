#include "config/connection_limits.hpp"

#include <algorithm>

namespace bendspindle::config {

std::size_t max_connections(const Settings& settings, const OperatorSettings& operator_settings) {
    // A third of the sockets is reserved for outgoing calls and for connections being opened or
    // closed.
    const auto by_sockets = settings.max_sockets * 2 / 3;
    // A quarter of the memory is available to connection threads; each was measured to touch 40 KiB
    // of its stack and heap.
    constexpr double kb_per_connection = 40;
    const auto by_memory =
        static_cast<std::size_t>(settings.memory_mb * 1024 / 4 / kb_per_connection);
    return std::max<std::size_t>(
        std::min({operator_settings.max_connection_threads, by_sockets, by_memory}), 1);
}

std::size_t max_waiting_connections(const Settings& settings, std::size_t served) {
    // Served and waiting connections together use at most half of the sockets; the rest is reserved
    // for outgoing calls and for peers.
    const auto half = settings.max_sockets / 2;
    return std::max<std::size_t>(half > served ? half - served : 0, 16);
}

}  // namespace bendspindle::config
