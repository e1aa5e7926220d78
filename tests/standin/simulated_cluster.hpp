// A deployment in simulated time: agents, a cloud, a key-value store, and the rules checked at
// every step. Scenarios (tests/scenarios/*.scn) drive it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "core/controller.hpp"
#include "standin/repeated_messages.hpp"
#include "standin/scenario_arguments.hpp"
#include "standin/simulated_agent.hpp"

namespace bendspindle::standin {

class SimulatedCluster {
  public:
    SimulatedCluster();
    // Executes one line of a scenario; throws std::runtime_error when an expectation fails.
    void execute(const std::string& line);
    // Called with each decision of the leader, a line each: commands, writes, scaling.
    void set_decision_observer(std::function<void(const std::string&)> to) {
        on_decision_ = std::move(to);
    }

  private:
    struct DelayedHeartbeat {
        SimulatedAgent agent;  // as it was: the machine may be gone when its report arrives
        core::Heartbeat heartbeat;
    };

    static constexpr unsigned command_seed = 1;
    static constexpr unsigned heartbeat_seed = 2;
    static constexpr double min_repeat_delay_s = 0.7;
    static constexpr double max_repeat_delay_s = 40;

    using Verbs = std::map<std::string, void (*)(SimulatedCluster&, const ScenarioArguments&)>;
    using Expectations =
        std::map<std::string, bool (*)(const SimulatedCluster&, const ScenarioArguments&)>;

    // The language of scenarios.
    static const Verbs& verbs();
    static const Expectations& expectations();
    void run(double seconds);
    SimulatedAgent& agent(const ScenarioArguments& arguments);
    void add_machine_type(const ScenarioArguments& arguments);
    void add_team(const ScenarioArguments& arguments);
    void add_machine(const ScenarioArguments& arguments);
    void set_catalog(bool up);
    void partition_leader(const ScenarioArguments& arguments);
    void heal_partition();
    void submit_job(const ScenarioArguments& arguments);
    void cancel_job(const std::string& id);
    void adopt_jobs();
    void flood(const ScenarioArguments& arguments);
    void set_writes(const ScenarioArguments& arguments);
    void list_machines(const ScenarioArguments& arguments);
    void deliver_delayed_commands();
    void lose_delayed_commands();
    void deliver_delayed_heartbeats();
    void expect(const ScenarioArguments& arguments);
    bool jobs_started_in_order(const ScenarioArguments& arguments) const;
    std::size_t starts_of(const std::string& job) const;
    bool has_terminal_state(const ScenarioArguments& arguments) const;
    bool task_is_on(const ScenarioArguments& arguments) const;
    std::size_t running_tasks(const std::string& job) const;
    bool reports_exit(const ScenarioArguments& arguments) const;

    // Time, agents and cloud.
    void step();
    void start_booted_machines();
    void send_heartbeats();
    void deliver_responses();
    void scale();
    SimulatedAgent boot_machine(const core::ScaleOutRequest& request);
    void deliver(SimulatedAgent& agent, const core::Heartbeat& heartbeat, bool answered);
    void execute_commands(SimulatedAgent& agent, const std::vector<core::TaskCommand>& commands);
    void record_commands(const std::string& machine,
                         const std::vector<core::TaskCommand>& commands) const;
    void record_decision(const std::string& decision) const;
    void deliver_command(const core::DirectCommand& command, bool answered);
    void deliver_repeated_messages();
    bool reaches(const core::DirectCommand& command) const;
    void advance(SimulatedAgent& agent, double dt);
    void pause_leader(double seconds);
    void send_direct_commands(core::Controller& from);
    void expect_served() const;
    void check_waiting_jobs();
    bool waits_beside_room(const core::JobSpec& spec) const;
    bool has_room(const SimulatedAgent& agent, const core::JobSpec& spec,
                  std::uint32_t& tasks) const;
    struct Transaction {
        double at;  // when it is carried out
        std::uint64_t term;
        std::vector<core::RecordWrite> changes;
        bool answered;
    };
    enum class Writes : std::uint8_t { prompt, slow, refused, unanswered };

    // As the state writer does: what is due goes out, one transaction at a time.
    void write_records();
    // As the key-value store does: what has arrived is carried out if its conditions hold.
    void carry_out_writes();
    bool conditions_hold(const Transaction& transaction) const;
    bool condition_holds(const core::RecordWrite& change) const;
    void carry_out(const core::RecordWrite& change, std::uint64_t mod_revision);
    void reconcile_conflict(const core::RecordWrite& change);
    void deliver_command_responses();
    // Clients retry what has not been answered.
    void retry_requests();
    void start_new_leader();
    void check_rules();
    void check_start(const std::string& job, std::uint32_t index, const SimulatedAgent& on);
    // Messages between the leader and the agent.
    void check_size(const core::Heartbeat& heartbeat) const;
    void check_size(const std::string& machine, const core::HeartbeatResponse& response) const;
    void check_size(const core::DirectCommand& call) const;
    void check_size(const std::string& message, std::size_t entries, const std::string& body) const;
    std::string tasks_of_team(const std::string& team) const;
    core::TimePoint at() const;
    [[noreturn]] void fail(const std::string& why) const;

    double now_ = 100;
    double dt_ = 0.25;
    core::Config config_;
    std::vector<core::MachineType> types_;
    std::uint64_t term_ = 0;
    std::unique_ptr<core::Controller> controller_;
    // The former one, cut off from state service and peers, not from workers `with_former_leader`.
    std::unique_ptr<core::Controller> former_leader_;
    // Durable records, as the state service would hold them.
    std::uint64_t revision_ = 1;
    bool state_up_ = true;
    Writes writes_ = Writes::prompt;
    double write_delay_ = 0;
    double next_write_at_ = 0;  // not before
    std::vector<Transaction> transactions_;
    int rejected_writes_ = 0;  // transactions whose conditions did not hold
    bool clients_retry_ = false;
    double longest_wait_beside_room_ = 0;  // seconds; 0: not checked
    std::map<std::string, double> waiting_since_;
    std::set<std::string> submitting_;
    std::set<std::string> cancelling_;
    std::map<std::string, std::pair<core::JobRecord, std::uint64_t>> jobs_;
    std::map<std::string, core::TerminalState> terminal_states_;
    std::map<std::string, std::pair<core::ListedMachine, std::uint64_t>> records_;
    std::map<std::string, SimulatedAgent> agents_;
    std::map<std::string, core::JobSpec> specs_;
    std::map<std::string, double> run_time_;
    std::set<std::string> always_failing_;  // jobs that fail on every machine
    std::map<std::string, double> cancelled_at_;
    std::map<std::string, core::TerminalState> last_reported_;
    std::vector<DelayedHeartbeat> delayed_heartbeats_;
    struct DelayedResponse {
        double at;
        std::string agent;
        std::uint64_t agent_epoch;
        core::HeartbeatResponse answer;
    };
    std::vector<DelayedResponse> delayed_responses_;
    struct DelayedCommandResponse {
        double at;
        core::DirectCommand deliver_command;
        core::Heartbeat heartbeat;
    };
    std::vector<DelayedCommandResponse> delayed_command_responses_;
    std::vector<core::DirectCommand> delayed_commands_;
    // Copies of messages that were answered.
    RepeatedMessages<core::DirectCommand> repeated_commands_{command_seed, min_repeat_delay_s,
                                                             max_repeat_delay_s};
    RepeatedMessages<DelayedHeartbeat> repeated_heartbeats_{heartbeat_seed, min_repeat_delay_s,
                                                            max_repeat_delay_s};
    bool repeat_heartbeats_ = true;
    std::vector<std::string> start_order_;
    std::map<std::string, std::map<std::uint32_t, bool>> completed_;
    bool cloud_up_ = true;
    bool catalog_ = true;
    bool direct_commands_enabled_ = false;
    bool scale_out_enabled_ = false;
    int machines_scaled_out_ = 0;
    int capacity_ = 1000;
    double boot_ = 5;
    std::set<std::string> zones_without_capacity_;
    std::vector<std::pair<double, SimulatedAgent>> booting_;
    std::set<std::string> released_;
    std::set<std::string> unreadable_records_;  // machines whose record makes no sense
    std::function<void(const std::string&)> on_decision_;
};

}  // namespace bendspindle::standin
