/// Entry point for agent messages into the core, and exit point for commands to agents. Called by
/// `Controller`. Owns the reconciliation modules and the order in which they process a message. Not
/// thread-safe.
///
/// A message is applied only if it is newer than any before, comes from a machine that was not
/// removed, and carries no fencing token newer than this term. Its task list is used once the
/// machine has reported this term's fencing token.
///
/// Starts are sent in heartbeat responses, which an agent executes before its next heartbeat or
/// never, or in direct calls, which may arrive minutes late.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/model/heartbeat.hpp"
#include "core/model/time.hpp"
#include "core/reconciliation/agent_counters.hpp"
#include "core/reconciliation/command_planner.hpp"
#include "core/reconciliation/direct_commands.hpp"
#include "core/reconciliation/failure_attribution.hpp"
#include "core/reconciliation/start_latency.hpp"
#include "core/reconciliation/task_reconciliation.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

/// The response to a heartbeat.
struct HeartbeatResponse {
    // False if the agent has seen a newer fencing token than this term's.
    bool leader_is_current = true;
    std::uint64_t fencing_token = 0;
    std::vector<TaskCommand> commands;
};

/// Passes each message through the reconciliation modules in order.
class AgentGateway {
  public:
    AgentGateway(const Config& config, const MachineCatalog& catalog, MachineInventory& inventory,
                 JobTable& job_table, RuntimeEstimates& estimates, std::uint64_t term);
    // Not copyable: the members hold references to each other.
    AgentGateway(const AgentGateway&) = delete;
    AgentGateway& operator=(const AgentGateway&) = delete;

    /// Applies a heartbeat and returns the response with the commands for the agent.
    [[nodiscard]] HeartbeatResponse heartbeat(const Heartbeat& heartbeat, TimePoint now);
    /// Returns the direct calls that are due; the outcome of each must be passed to
    /// `complete_direct_call`. Without `may_start` the calls carry no starts.
    [[nodiscard]] std::vector<DirectCommand> direct_commands(TimePoint now, bool may_start) {
        return direct_commands_.due(now, may_start);
    }
    /// Applies the outcome of a direct call. `answer` is the heartbeat in its response, or null.
    void complete_direct_call(const DirectCommand& call, CommandOutcome outcome,
                              const Heartbeat* answer, TimePoint now);
    /// Stops and unbinds the tasks that have to leave draining or unreachable machines.
    void drain(TimePoint now) { command_planner_.drain(now); }
    /// Removes a machine whose release is confirmed, together with its tasks.
    void released(const std::string& name);
    /// Returns the jobs whose tasks have to be stopped; see `CommandPlanner::jobs_to_stop`.
    [[nodiscard]] std::set<std::string> jobs_to_stop() const {
        return command_planner_.jobs_to_stop();
    }
    const AgentCounters& counts() const { return counts_; }
    /// Returns the jobs that have started since the last call.
    [[nodiscard]] std::vector<StartLatencyBreakdown> take_started() {
        return start_latency_.take();
    }

  private:
    MachineInventory& inventory_;
    JobTable& job_table_;
    const std::uint64_t term_;
    // In order of dependency: each member is constructed after those that it refers to.
    AgentCounters counts_;
    StartLatencyTracker start_latency_;
    FailureAttribution failure_attribution_;
    CommandPlanner command_planner_;
    DirectCommands direct_commands_;
    Reconciliation reconciliation_;
};

}  // namespace bendspindle::core
