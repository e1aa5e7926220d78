#include "daemon/announcements.hpp"

#include <chrono>
#include <thread>

#include "io/guarded_step.hpp"
#include "io/log.hpp"

namespace bendspindle::daemon {

namespace {

constexpr std::chrono::milliseconds announcement_interval{1000};

}  // namespace

Announcements::Announcements(leadership::LeaderElector& elector,
                             leadership::CancellationReplication& replication,
                             agents::HeartbeatHandler& heartbeats)
    : elector_(elector), replication_(replication), heartbeats_(heartbeats) {}

void Announcements::run() {
    for (;;) {
        io::run_guarded("announcements", [this] {
            replication_.exchange_with_peers();
            if (elector_.status().leading) yield_if_unreachable();
        });
        std::this_thread::sleep_for(announcement_interval);
    }
}

void Announcements::yield_if_unreachable() {
    if (!heartbeats_.detect_inbound_unreachable()) return;
    io::log::info("leadership_yielded", "cause", "agents_reach_peers_only");
    elector_.yield_leadership();
}

}  // namespace bendspindle::daemon
