// The leader's dealings with the cloud: catalog, machine list, rentals and releases, within the
// cloud's call limit.
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <vector>

#include "config/settings.hpp"
#include "io/http_client.hpp"
#include "state/leader_state.hpp"

namespace bendspindle::cloud {

class CloudClient {
  public:
    // `may_act`: whether no other controller can act yet.
    CloudClient(state::LeaderState& leader_state, const config::Settings& settings,
                std::function<bool()> may_act);
    // Runs until the process ends.
    void run();

  private:
    using Clock = std::chrono::steady_clock;
    void read_catalog();
    void read_list();
    void rent(const core::ScaleOutRequest& request, std::uint64_t term);
    void release(const core::ScalingPlan& plan, std::uint64_t term);
    void pace();

    state::LeaderState& leader_state_;
    io::HttpClient client_;
    std::function<bool()> may_act_;
    Clock::duration spacing_;
    Clock::duration list_every_;
    Clock::time_point next_call_{};
    Clock::time_point next_catalog_{};
    Clock::time_point next_list_{};
};

}  // namespace bendspindle::cloud
