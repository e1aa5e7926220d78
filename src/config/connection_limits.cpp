#include "config/connection_limits.hpp"

#include <algorithm>

namespace bendspindle::config {

std::size_t max_connections(const Settings& settings, const OperatorSettings& own) {
    // A third of the sockets is left for calls out, and for connections on their way in or out.
    const auto by_sockets = settings.most_sockets * 2 / 3;
    // What a connection's thread was seen to touch of its stack and heap, in a quarter of the
    // memory.
    constexpr double kb_a_connection = 40;
    const auto by_memory =
        static_cast<std::size_t>(settings.memory_mb * 1024 / 4 / kb_a_connection);
    return std::max<std::size_t>(std::min({own.threads, by_sockets, by_memory}), 1);
}

std::size_t max_waiting_connections(const Settings& settings, std::size_t served) {
    // Together half of the sockets; the rest is for calls out and for peers.
    const auto half = settings.most_sockets / 2;
    return std::max<std::size_t>(half > served ? half - served : 0, 16);
}

}  // namespace bendspindle::config
