/// The leader's calls of the cloud: the catalog of machine types, the list of machines, scaling out
/// and in, all within the cloud's rate limit.
///
/// One thread of the daemon runs it. A follower only reads the catalog. What must hold: no machine
/// is rented, and none released that a newer leader may use, once this controller's lease may have
/// expired.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "config/settings.hpp"
#include "io/http_client.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::cloud {

/// Only `run` is public: everything belongs to the thread that calls it.
class CloudClient {
  public:
    /// `lease_valid`: whether no other controller can lead yet. `leader_state` outlives this.
    CloudClient(state::LeaderState& leader_state, const config::Settings& settings,
                std::function<bool()> lease_valid);
    /// Calls the cloud as its plans ask for, until the process ends.
    void run();

  private:
    using Clock = std::chrono::steady_clock;

    void refresh_catalog();
    void report_listed_machines();
    void scale_out(const core::ScaleOutRequest& request, std::uint64_t term);
    void scale_in(const core::ScalingPlan& plan, std::uint64_t term);
    void wait_for_rate_limit();

    state::LeaderState& leader_state_;
    io::HttpClient client_;
    std::function<bool()> lease_valid_;
    Clock::duration call_spacing_;
    Clock::duration list_every_;
    Clock::time_point next_call_{};
    Clock::time_point next_catalog_{};
    Clock::time_point next_list_{};
};

}  // namespace bendspindle::cloud
