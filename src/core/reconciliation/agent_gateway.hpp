/// The place where messages of agents enter the core, and commands to them leave it. Called by
/// `Controller`; owns the parts of reconciliation, each in its own module, and the order in which a
/// message goes through them. Not thread-safe.
///
/// A message is taken over only if it is newer than any before, comes from a machine that was not
/// removed, and carries no fencing token newer than this term. Its task list counts from the moment
/// when it shows this term's token.
///
/// Starts travel in responses to heartbeats, which an agent executes before its next heartbeat or
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
    bool entitled = true;  // false: the agent has seen a newer fencing token than this term's
    std::uint64_t fencing_token = 0;
    std::vector<TaskCommand> commands;
};

/// Takes each message through the parts of reconciliation in their order.
class AgentGateway {
  public:
    AgentGateway(const Config& config, const MachineCatalog& catalog, MachineInventory& inventory,
                 JobTable& job_table, RuntimeEstimates& estimates, std::uint64_t term);
    // Its parts hold references to each other.
    AgentGateway(const AgentGateway&) = delete;
    AgentGateway& operator=(const AgentGateway&) = delete;

    /// Takes a heartbeat over, and returns what the agent is to do.
    [[nodiscard]] HeartbeatResponse heartbeat(const Heartbeat& heartbeat, TimePoint now);
    /// Direct calls that are due now; each must be settled by `called`. Without `may_start` they
    /// carry no starts.
    [[nodiscard]] std::vector<DirectCommand> direct_commands(TimePoint now, bool may_start) {
        return direct_commands_.due(now, may_start);
    }
    /// Settles a direct call. `answer`: the heartbeat it brought back, null if there was none.
    void called(const DirectCommand& call, CommandOutcome outcome, const Heartbeat* answer,
                TimePoint now);
    /// Stops and unbinds what must leave machines that are draining or unreachable.
    void drain(TimePoint now) { command_planner_.drain(now); }
    /// The release of a machine was answered: it is gone, with its tasks.
    void released(const std::string& name);
    /// Jobs to stop on their machines; see `CommandPlanner::jobs_to_end`.
    [[nodiscard]] std::set<std::string> jobs_to_end() const {
        return command_planner_.jobs_to_end();
    }
    const AgentCounters& counts() const { return counts_; }
    /// Jobs that have started since the last call.
    [[nodiscard]] std::vector<StartLatencyBreakdown> take_started() { return starts_.take(); }

  private:
    MachineInventory& inventory_;
    JobTable& job_table_;
    const std::uint64_t term_;
    // In the order of what refers to what: each is constructed after what it holds references to.
    AgentCounters counts_;
    StartLatencyTracker starts_;
    FailureAttribution failure_attribution_;
    CommandPlanner command_planner_;
    DirectCommands direct_commands_;
    Reconciliation reconciliation_;
};

}  // namespace bendspindle::core
