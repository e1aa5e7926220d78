// Figures of a scale run: once a window, and over all of them.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "controllers.hpp"
#include "simulated_agents.hpp"
#include "standin/state_service.hpp"
#include "task_oracle.hpp"
#include "users.hpp"

namespace bendspindle::scale {

/// The quantiles that are reported of a set of times.
struct Quantiles {
    std::size_t count = 0;
    double p50 = 0;
    double p99 = 0;
    double most = 0;
};
Quantiles quantiles(std::vector<double> values);

/// What is measured; none of it is owned.
struct Measured {
    SimulatedAgents& agents;
    Users& users;
    TaskOracle& oracle;
    standin::StateService& state;
    Controllers& controllers;
};

/// Takes the figures of one window after the other.
class Measure {
  public:
    Measure(Measured measured, TimePoint now);
    /// Begins to count; what was before is left out.
    void begin(TimePoint now);
    /// Ends a window. `leader`: the controller that leads at its end.
    void window(int leader, TimePoint now);
    /// Everything since `begin`, for the results.
    nlohmann::json results() const;

  private:
    struct Snapshot {
        SimulatedAgentCounts agents;
        UserCounts users;
        TaskOracleCounts oracle;
        std::uint64_t user_bytes_in = 0;
        std::uint64_t user_bytes_out = 0;
        std::vector<std::uint64_t> renewals;
        std::vector<standin::StateCounts> state;
        std::vector<double> cpu_s;
    };
    Snapshot snapshot();
    nlohmann::json controllers(const Snapshot& now, double seconds);
    nlohmann::json totals() const;

    Measured measured_;
    TimePoint begun_;
    TimePoint last_at_;
    Snapshot first_;
    Snapshot last_;
    nlohmann::json windows_ = nlohmann::json::array();
    std::vector<double> heartbeats_;
    std::vector<double> submissions_;
    std::vector<double> urgent_;
};

/// The results as a table for people.
std::string table(const nlohmann::json& results);

}  // namespace bendspindle::scale
