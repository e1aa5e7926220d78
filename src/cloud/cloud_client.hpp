/// The controller's calls to the cloud API: reading the catalog of machine types, listing machines,
/// scaling out and scaling in, all within the API's rate limit.
///
/// Runs on one thread of the daemon. A follower only reads the catalog. Invariant: once this
/// controller's lease may have expired, it rents no machine and releases none that a newer leader
/// may use.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "config/settings.hpp"
#include "io/http_client.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::cloud {

/// A client of the cloud API. All members are used only by the thread that calls `run`.
class CloudClient {
  public:
    /// `lease_valid` returns whether the lease still rules out another leader. `leader_state` must
    /// outlive the client.
    CloudClient(state::LeaderState& leader_state, const config::Settings& settings,
                std::function<bool()> lease_valid);
    /// Refreshes the catalog and, as leader, carries out the scaling plans. Does not return.
    void run();

  private:
    using Clock = std::chrono::steady_clock;

    void run_once();
    void refresh_catalog();
    void report_listed_machines();
    void scale_out(const core::ScaleOutRequest& request, std::uint64_t term);
    void scale_in(const core::ScalingPlan& plan, std::uint64_t term);
    void wait_for_rate_limit();

    state::LeaderState& leader_state_;
    io::HttpClient client_;
    std::function<bool()> lease_valid_;
    Clock::duration call_spacing_;
    Clock::duration list_interval_;
    Clock::time_point next_call_{};
    Clock::time_point next_catalog_{};
    Clock::time_point next_list_{};
};

}  // namespace bendspindle::cloud
