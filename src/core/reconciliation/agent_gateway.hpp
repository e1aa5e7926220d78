// Between the jobs' placements and the workers: what reports say is taken over into placements,
// and what placements ask for goes out as orders, with answers to reports or in direct calls. The
// place where messages of workers enter; what each part does is in its own module.
//
// Starts travel in answers to reports, which a worker executes before its next report or never, or
// in direct calls, which may arrive minutes late.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/reconciliation/agent_counters.hpp"
#include "core/reconciliation/command_planner.hpp"
#include "core/reconciliation/direct_commands.hpp"
#include "core/reconciliation/failure_attribution.hpp"
#include "core/reconciliation/start_latency.hpp"
#include "core/reconciliation/task_reconciliation.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

struct HeartbeatResponse {
    bool entitled = true;  // false: the worker knows a newer token than this controller
    std::uint64_t fencing_token = 0;
    std::vector<TaskCommand> commands;
};

class AgentGateway {
  public:
    AgentGateway(const Config& config, const MachineCatalog& catalog, MachineInventory& inventory,
                 JobTable& pipelines, RuntimeEstimates& estimates, std::uint64_t term);
    // Its parts refer to each other.
    AgentGateway(const AgentGateway&) = delete;
    AgentGateway& operator=(const AgentGateway&) = delete;

    HeartbeatResponse heartbeat(const Heartbeat& heartbeat, TimePoint now);
    // Direct calls that are due now; each is settled by `called`.
    std::vector<DirectCommand> direct_commands(TimePoint now, bool may_start) {
        return direct_commands_.due(now, may_start);
    }
    // `answer` is the worker's report, if there was one.
    void called(const DirectCommand& call, CommandOutcome outcome, const Heartbeat* answer,
                TimePoint now);
    // What must leave machines that are taken, returned or failing.
    void drain(TimePoint now) { command_planner_.drain(now); }
    // The release of a machine was answered.
    void released(const std::string& name);
    // Jobs that are over, as far as they are known, with tasks on machines by the books or by the
    // last report: whoever renews the leases of these machines has to stop them.
    std::set<std::string> jobs_to_end() const { return command_planner_.jobs_to_end(); }
    const AgentCounters& counts() const { return counts_; }
    // Jobs that have started since the last call.
    std::vector<StartLatencyBreakdown> take_started() { return starts_.take(); }

  private:
    MachineInventory& inventory_;
    JobTable& job_table_;
    const std::uint64_t term_;
    // In the order of what refers to what.
    AgentCounters counts_;
    StartLatencyTracker starts_;
    FailureAttribution failure_attribution_;
    CommandPlanner command_planner_;
    DirectCommands direct_commands_;
    Reconciliation reconciliation_;
};

}  // namespace bendspindle::core
