// The users of a scale run: they submit jobs, ask after them until they are over, and cancel some.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "event_loop.hpp"
#include "http.hpp"
#include "settings.hpp"
#include "simulated_agents.hpp"
#include "task_oracle.hpp"

namespace bendspindle::scale {

/// What users saw since the run began.
struct UserCounts {
    std::uint64_t submitted = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;  // 400 and 422: a mistake of the run or of a controller
    std::uint64_t given_up = 0;
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;  // requests without a useful answer
    std::uint64_t over = 0;    // with a terminal state that its user has seen
    // Rules that show to users.
    std::uint64_t forgotten = 0;
    std::uint64_t not_done = 0;
    std::uint64_t went_back = 0;
};

/// All users, on one event loop. Each call is a connection of its own, to one controller after the
/// other.
class Users {
  public:
    Users(EventLoop& loop, const ScaleSettings& settings, TaskOracle& oracle,
          SimulatedAgents::Random& random);

    /// Jobs arrive until then.
    void begin(TimePoint end);
    std::size_t open() const { return open_.size(); }
    std::uint64_t tasks_open() const;
    const UserCounts& counts() const { return counts_; }
    /// Seconds from the first attempt to submit to the acceptance.
    std::vector<double> take_latencies() { return std::exchange(latencies_, {}); }
    const Traffic& traffic() const { return traffic_; }

  private:
    using OnAnswer = std::function<void(int status, const std::string& stage)>;
    struct Call;
    void arrive();
    core::JobSpec draw();
    void draw_size(core::JobSpec& spec, bool urgent);
    Seconds draw_run();
    void submit(const std::string& id, TimePoint first);
    void poll(const std::string& id);
    void polled(Job& job, bool was_cancelled, int status, const std::string& stage);
    void cancel(const std::string& id);
    void ask(const std::string& method, const std::string& target, const std::string& body,
             Clock::duration limit, OnAnswer on_answer);
    double draw_share() { return std::uniform_real_distribution(0.0, 1.0)(random_); }

    EventLoop& loop_;
    const ScaleSettings& settings_;
    TaskOracle& oracle_;
    SimulatedAgents::Random& random_;
    TimePoint end_{};
    std::uint64_t numbers_ = 0;
    int next_controller_ = 0;
    std::set<std::string> open_;
    std::set<std::string> cancelling_;
    std::uint64_t calls_made_ = 0;
    std::map<std::uint64_t, std::unique_ptr<HttpClient>> calls_;
    std::vector<double> latencies_;
    UserCounts counts_;
    Traffic traffic_;
};

}  // namespace bendspindle::scale
