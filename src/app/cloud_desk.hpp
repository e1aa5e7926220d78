// The steward's dealings with the cloud: catalog, machine list, rentals and releases, within the
// cloud's call limit.
#pragma once

#include <chrono>
#include <deque>
#include <vector>

#include "app/office.hpp"
#include "app/settings.hpp"
#include "io/http_client.hpp"
#include "wire/codec.hpp"

namespace bendspindle::app {

class CloudDesk {
  public:
    CloudDesk(Office& office, const Settings& settings);
    // Runs until the process ends.
    void run();

  private:
    using Clock = std::chrono::steady_clock;
    void read_catalog();
    void read_list();
    void rent(const core::RentRequest& request, std::uint64_t epoch);
    void release(const std::vector<std::string>& names, std::uint64_t epoch);
    void pace();

    Office& office_;
    io::HttpClient client_;
    Clock::duration spacing_;
    Clock::duration list_every_;
    Clock::time_point next_call_{};
    Clock::time_point next_catalog_{};
    Clock::time_point next_list_{};
};

}  // namespace bendspindle::app
