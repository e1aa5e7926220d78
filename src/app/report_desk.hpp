// Reports of workers: handled by the leader with its records in memory, sent to the leader or
// handed on to it by a follower, and answered for a bounded time by one that only remembers what is
// cancelled: a follower with the leader out of reach, or a leader before its records are loaded.
// Calls to peers and the time are passed in.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "app/cancellation_replication.hpp"
#include "app/clock.hpp"
#include "app/office.hpp"
#include "app/peers.hpp"
#include "app/reply.hpp"
#include "app/role.hpp"
#include "app/visits.hpp"

namespace bendspindle::app {

enum class From : std::uint8_t { outside, sibling };

class ReportDesk {
  public:
    // All of these outlive it.
    ReportDesk(const core::WorkerTimes& workers, Office& office, Role& role, Peers& peers,
               CancellationReplication& replication, ClockFunction clock = steady_clock());

    Reply report(const std::string& body, From from);
    // This controller has become the leader.
    void took_over();
    // Whether workers have lately reached peers only. Once true, it begins to watch anew.
    bool unreached();

  private:
    Reply at_leader(const core::Report& report, std::uint64_t epoch);
    Reply at_follower(const core::Report& report, const std::string& body,
                      const Standing& standing);
    // Without the leader at hand: for a bounded time the worker may go on.
    Reply renew_unheard(const core::Report& report, std::uint64_t epoch);

    Office& office_;
    Role& role_;
    Peers& peers_;
    CancellationReplication& replication_;
    const ClockFunction clock_;
    std::mutex mutex_;
    Visits visits_;
    Reach reach_;
};

}  // namespace bendspindle::app
