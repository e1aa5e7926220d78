/// One simulated agent: the agent's side of the protocol, with tasks that are nothing but times. No
/// input or output; time is passed in. Owned and called by `SimulatedAgents`.
///
/// Simplified: a task that is stopped never saves, so a gang begins anew; images are never thrown
/// out of a machine's cache; a machine that hangs goes on counting its tasks' times.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/types.hpp"
#include "task_oracle.hpp"

namespace bendspindle::scale {

/// What a machine is, apart from what it does.
struct MachineIdentity {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    core::Resources size;
    double fetch_gb_per_s = 1;
};

/// Commands with the token that they come under; the agent epoch stands in direct calls only.
struct Commands {
    std::optional<std::uint64_t> fencing_token;
    std::optional<std::uint64_t> agent_epoch;
    std::vector<core::TaskCommand> commands;
};

/// Reads the body of a heartbeat's answer or of a direct call; nullopt: malformed.
std::optional<Commands> parse_commands(std::string_view body);

/// The agent of one machine.
class SimulatedAgent : public GangMember {
  public:
    SimulatedAgent(MachineIdentity identity, core::AgentTimings times, TaskOracle& oracle,
                   TimePoint now);
    ~SimulatedAgent() override;
    SimulatedAgent(const SimulatedAgent&) = delete;
    SimulatedAgent& operator=(const SimulatedAgent&) = delete;

    const MachineIdentity& identity() const { return identity_; }
    std::uint64_t agent_epoch() const { return agent_epoch_; }
    std::uint64_t fencing_token() const { return token_; }
    std::size_t tasks() const { return tasks_.size(); }

    /// A heartbeat, or the answer to a direct call; each has a new number.
    core::Heartbeat heartbeat();
    /// The answer to a heartbeat that was sent then, in that agent epoch. False: dropped.
    bool answered(TimePoint sent, std::uint64_t agent_epoch, const Commands& commands,
                  TimePoint now);
    /// The status of a direct call.
    int direct(const Commands& commands, TimePoint now);
    /// Lets time pass: images arrive, tasks end, the lease expires.
    void advance(TimePoint now);
    /// When `advance` has something to do next.
    TimePoint next_due() const;
    /// Whether something changed since the last heartbeat that counts as a reason for one.
    bool changed() const { return changed_; }
    /// A heartbeat is on its way.
    void heartbeat_sent() { changed_ = false; }
    /// The machine is gone with all that is on it.
    void die(TimePoint now);
    /// The machine has lost its tasks; it goes on with the next agent epoch.
    void restart(TimePoint now);
    /// Called when a change comes from elsewhere: its caller looks at `next_due` and `changed`.
    void on_change(std::function<void()> call) { on_change_ = std::move(call); }

    void gang_runs(const std::string& job, std::uint64_t attempt, TimePoint now) override;
    void gang_done(const std::string& job, std::uint64_t attempt, TimePoint now) override;
    void gang_broken(const std::string& job, std::uint64_t attempt, TimePoint now) override;

  private:
    struct Task {
        core::ReportedTask seen;
        core::Resources need;
        TimePoint due{};    // of its next change; in the far future: none by itself
        bool here = false;  // it has its image and has not gone
    };
    static constexpr TimePoint never = TimePoint::max();

    void execute(const core::TaskCommand& command, TimePoint now);
    void start(const core::TaskCommand& command, TimePoint now);
    void has_image(Task& task, TimePoint now);
    void run(Task& task, TimePoint now);
    void step(Task& task, TimePoint now);
    void exit(Task& task, core::ExitCause cause, TimePoint now);
    core::ExitCause refusal(const core::TaskCommand& command) const;
    TimePoint image_ready(const core::JobSpec& spec, TimePoint now);
    void saw_token(std::uint64_t fencing_token, TimePoint now);
    void drop_all(TimePoint now);
    void mark_changed();

    MachineIdentity identity_;
    core::AgentTimings times_;
    TaskOracle& oracle_;
    std::uint64_t agent_epoch_ = 1;
    std::uint64_t seq_ = 0;
    std::uint64_t token_ = 0;
    TimePoint lease_from_;
    std::optional<TimePoint> token_counted_;
    bool changed_ = true;
    std::vector<Task> tasks_;
    std::map<std::string, TimePoint> images_;
    std::function<void()> on_change_;
};

}  // namespace bendspindle::scale
