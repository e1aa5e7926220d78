// The acting controller: home of the open pipelines, keeper of the machines and steward of
// renting. The place where reports, calls, cycles and writes enter; each fact and each decision
// has its own room behind it (docs/design.md, "Rooms"). Deterministic: everything it learns is
// passed in, with the time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/autoscaling/autoscaler.hpp"
#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/reconciliation/agent_gateway.hpp"
#include "core/scheduling/placement_cycle.hpp"
#include "core/scheduling/preemption.hpp"
#include "core/scheduling/quota_accounting.hpp"
#include "core/scheduling/runtime_estimates.hpp"
#include "core/write_queue.hpp"

namespace bendspindle::core {

class Controller {
  public:
    Controller(Config config, std::uint64_t term);
    // Its rooms refer to each other.
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    std::uint64_t term() const { return term_; }

    // Taking over: what the state service holds.
    void set_types(std::vector<MachineType> types);
    void load_job(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);
    void load_machine(const ListedMachine& record, std::uint64_t mod_revision, TimePoint now);
    // Records that cannot be read: what they are of is left alone, and everything else goes on.
    void load_unreadable_machine(const std::string& name, std::uint64_t mod_revision,
                                 TimePoint now);
    void quarantine(const std::string& job) { job_table_.quarantine(job); }
    bool quarantined(const std::string& job) const { return job_table_.quarantined(job); }

    // A job that another controller has accepted in this term. False: it was known already.
    bool learn(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);

    // Users.
    Verdict check(const JobSpec& spec) const;
    bool knows(const std::string& id) const { return job_table_.knows(id); }
    // False: the id was known already.
    bool accept(const JobSpec& spec, WallTime submitted, TimePoint now);
    std::optional<JobStatus> status(const std::string& id) const { return job_table_.status(id); }
    bool durable(const std::string& id) const;
    // Whether tasks of it may be on machines that have not shown this term's token.
    bool in_doubt(const std::string& id) const;
    // Jobs with tasks on machines whose user may have been told, by this controller or a former
    // one, that they are cancelled.
    std::set<std::string> jobs_to_end() const { return agents_.jobs_to_end(); }
    // Whether its acceptance here met a record that was there before.
    bool found(const std::string& id) const;
    // Marks a job as cancelled; its record is written next. False: it is done already or unknown.
    bool cancel(const std::string& id, TimePoint now) { return job_table_.cancel(id, now); }
    // A write found in the state service that the job is over, or was accepted elsewhere before.
    void finished_by_record(const std::string& id, TerminalState terminal_state, TimePoint now) {
        job_table_.finished_by_record(id, terminal_state, now);
    }
    void found_elsewhere(const JobRecord& record, std::uint64_t mod_revision, TimePoint now) {
        job_table_.found_elsewhere(record, mod_revision, now);
    }

    // Workers.
    HeartbeatResponse heartbeat(const Heartbeat& heartbeat, TimePoint now);
    // Direct calls that are due now; each is settled by `called`.
    std::vector<DirectCommand> direct_commands(TimePoint now, bool may_start = true);
    // `answer` is the worker's report, if there was one.
    void called(const DirectCommand& call, CommandOutcome outcome, const Heartbeat* answer,
                TimePoint now);

    // Placing, called once a cycle and when something frees up.
    void cycle(TimePoint now);

    // Renting.
    ScalingPlan plan_scaling(TimePoint now);
    void scaled_out(const ScaleOutRequest& request, const std::vector<std::string>& names,
                    TimePoint now);
    // The cloud has answered: these machines are gone.
    void released(const std::vector<std::string>& names);
    // The cloud's whole list, asked for at `asked`.
    void listed(const std::vector<ListedMachine>& machines, TimePoint asked, TimePoint now);

    // Writing. Urgent changes first; done-sets wait for company.
    std::vector<RecordWrite> changes(std::size_t most_operations, TimePoint now) const;
    // They are about to be written. Returns the jobs whose final state is sent for the first time;
    // until it is known what became of that, no other state of theirs is told.
    std::vector<std::string> sent(const std::vector<RecordWrite>& changes);
    void not_executed(const std::vector<std::string>& terminal_states);
    void written(const std::vector<RecordWrite>& changes, std::uint64_t mod_revision,
                 TimePoint now);
    void set_mod_revision(RecordWrite::Type type, const std::string& id,
                          std::uint64_t mod_revision);
    // While a former controller may still tell users what it knew (app/membership).
    void hold_terminal_states_until(TimePoint until) {
        write_queue_.hold_terminal_states_until(until);
    }

    // For tests and logs.
    std::size_t unconfirmed() const { return inventory_.unconfirmed(); }
    const std::map<std::string, Machine>& machines() const { return inventory_.all(); }
    const JobTable::Jobs& jobs() const { return job_table_.all(); }
    const AgentCounters& counts() const { return agents_.counts(); }
    std::vector<StartLatencyBreakdown> take_started() { return agents_.take_started(); }

  private:
    // In the order of what refers to what.
    const Config config_;
    const std::uint64_t term_;
    MachineCatalog catalog_;
    MachineInventory inventory_;
    JobTable job_table_;
    RuntimeEstimates estimates_;
    QuotaAccounting quota_accounting_;
    AgentGateway agents_;
    Preemption preemption_;
    PlacementCycle placement_cycle_;
    Autoscaler autoscaler_;
    WriteQueue write_queue_;
};

}  // namespace bendspindle::core
