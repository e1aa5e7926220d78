// The cloud's stand-in for a scale run: machines of one type, up to as many as the run has.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "event_loop.hpp"
#include "http.hpp"
#include "settings.hpp"
#include "simulated_agents.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::scale {

/// Rents, lists and releases. Machines are in its list as of some moment within the list's lag.
class Cloud {
  public:
    Cloud(EventLoop& loop, const ScaleSettings& settings, SimulatedAgents& agents,
          SimulatedAgents::Random& random);

    /// The machines that are up when the run begins, spread over the zones.
    void begin(int count);
    /// The machine stops with all that is on it; the list shows it as running for a while.
    void lose(const std::string& name);

    const Traffic& traffic() const { return listener_.traffic(); }
    std::uint64_t scaled_out() const { return rented_; }
    std::uint64_t released() const { return released_; }

  private:
    struct Machine {
        std::string zone;
        std::string address;
        std::string stage = "starting";
        TimePoint asked{};
    };
    std::optional<std::pair<int, std::string>> serve(const HttpMessage& request);
    std::string catalog() const;
    std::pair<int, std::string> rent(const HttpMessage& request);
    std::string release(const HttpMessage& request);
    std::string list(const std::string& target);
    std::string add(const std::string& zone);
    void refresh_list();

    EventLoop& loop_;
    const ScaleSettings& settings_;
    SimulatedAgents& agents_;
    SimulatedAgents::Random& random_;
    int numbers_ = 0;
    int charged_ = 0;
    std::uint64_t rented_ = 0;
    std::uint64_t released_ = 0;
    std::map<std::string, Machine> machines_;
    std::map<std::string, Machine> listed_;
    TimePoint listed_at_{};
    std::map<std::string, wire::Value> answered_;  // rentals by name
    HttpListener listener_;
};

}  // namespace bendspindle::scale
