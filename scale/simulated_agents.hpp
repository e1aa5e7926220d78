/// All simulated agents of a run: their heartbeats, the direct calls to them, and the faults of
/// their machines. Runs on the event loop's thread alone; owned by `run`, driven by `cloud` (which
/// machines are up) and read by `measure`.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "event_loop.hpp"
#include "http.hpp"
#include "settings.hpp"
#include "simulated_agent.hpp"

namespace bendspindle::scale {

/// What the agents have sent and got since the run began.
struct SimulatedAgentCounts {
    std::uint64_t heartbeats = 0;  // sent
    std::uint64_t renewals = 0;    // answered with 200 and accepted
    std::uint64_t dropped = 0;  // answered with 200 under a lower token, or for an old agent epoch
    std::uint64_t redirected = 0;  // 421
    std::uint64_t failed = 0;      // any other status, or none
    std::uint64_t direct = 0;      // direct calls served
    std::uint64_t leases_lost = 0;
    std::uint64_t bytes_out = 0;  // of heartbeats and their answers, with heads
    std::uint64_t bytes_in = 0;
};

/// All machines that are up.
class SimulatedAgents {
  public:
    using Random = std::mt19937_64;

    SimulatedAgents(EventLoop& loop, const ScaleSettings& settings, TaskOracle& oracle,
                    Random& random);
    ~SimulatedAgents();

    /// A machine is up in that zone, and its agent begins to send heartbeats.
    void add(const std::string& name, const std::string& zone);
    /// The machine is gone with all on it; false: there is none by that name.
    bool remove(const std::string& name);
    std::size_t up() const { return by_name_.size(); }

    /// Names of the machines of a region, a zone or a rack ("zone/number").
    std::vector<std::string> at(const std::string& place) const;
    /// The machine neither reaches the controllers nor is reached.
    void cut(const std::string& name, Seconds time);
    /// The machine does nothing.
    void hang(const std::string& name, Seconds time);
    /// The machine loses its tasks and is back later, with a new agent epoch.
    void restart(const std::string& name, Seconds time);

    SimulatedAgentCounts counts() const;
    /// Seconds from sending a heartbeat to its answer, of those answered with 200.
    std::vector<double> take_latencies() { return std::exchange(latencies_, {}); }
    /// Heartbeats answered with 200 by each controller.
    const std::vector<std::uint64_t>& renewals_by() const { return renewals_by_; }
    static std::string address(int number, int port);

  private:
    struct Member;
    void tick(Member& member);
    void arm(Member& member, TimePoint when);
    void send_heartbeat(Member& member, TimePoint now);
    void answered(Member& member, TimePoint sent, std::uint64_t agent_epoch,
                  std::optional<HttpMessage> answer);
    void accepted(Member& member, TimePoint sent, std::uint64_t agent_epoch,
                  const HttpMessage& answer);
    void redirected(Member& member, const std::string& named, TimePoint now);
    void try_next(Member& member, TimePoint now);
    std::optional<std::pair<int, std::string>> serve(const HttpMessage& request,
                                                     std::uint32_t address);
    static bool unreachable(const Member& member, TimePoint now);
    Seconds between(double least, double most);

    EventLoop& loop_;
    const ScaleSettings& settings_;
    TaskOracle& oracle_;
    Random& random_;
    int numbers_ = 0;
    std::vector<std::uint64_t> renewals_by_;
    std::vector<double> recent_;          // the same, the older the less
    std::map<std::string, int> in_zone_;  // machines ever, by zone
    std::map<std::string, std::unique_ptr<Member>> by_name_;
    std::unordered_map<std::uint32_t, Member*> by_address_;
    std::vector<std::unique_ptr<Member>> gone_;
    std::vector<double> latencies_;
    SimulatedAgentCounts counts_;
    std::unique_ptr<HttpListener> listener_;
};

}  // namespace bendspindle::scale
