/// The core's only entrance: messages, requests and answers of the cloud and the key-value store go
/// in, decisions come out. Owns the modules and their order; each call is handed to the one it
/// concerns.
///
/// No clock, thread, input or output: time is passed in, and the caller (`state`'s leader state)
/// holds the lock. One instance lives for one term of one leader.
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
#include "core/model/heartbeat.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/listed_machine.hpp"
#include "core/model/machine_type.hpp"
#include "core/model/scale_out_request.hpp"
#include "core/model/time.hpp"
#include "core/reconciliation/agent_gateway.hpp"
#include "core/scheduling/placement_cycle.hpp"
#include "core/scheduling/preemption.hpp"
#include "core/scheduling/quota_accounting.hpp"
#include "core/scheduling/runtime_estimates.hpp"
#include "core/write_queue.hpp"

namespace bendspindle::core {

/// The core of one leader for one term.
class Controller {
  public:
    Controller(Config config, std::uint64_t term);
    // Its modules hold references to each other.
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    [[nodiscard]] std::uint64_t term() const { return term_; }

    // Failover: what the key-value store holds. All of it is loaded before the first heartbeat.

    /// The cloud's catalog; until it is known nothing is placed or scaled.
    void set_types(std::vector<MachineType> types);
    void load_job(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);
    void load_machine(const ListedMachine& record, std::uint64_t mod_revision, TimePoint now);
    /// Records that cannot be read: what they are of is left alone, and everything else goes on.
    void load_unreadable_machine(const std::string& name, std::uint64_t mod_revision,
                                 TimePoint now);
    void quarantine(const std::string& job) { job_table_.quarantine(job); }
    [[nodiscard]] bool quarantined(const std::string& job) const {
        return job_table_.quarantined(job);
    }

    /// A job that another controller has accepted in this term. False: it was known already.
    bool adopt(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);

    // Users.

    /// Whether such a job could ever run.
    [[nodiscard]] Verdict check(const JobSpec& spec) const;
    [[nodiscard]] bool knows(const std::string& id) const { return job_table_.knows(id); }
    /// Takes a new job; its record is written next. False: the id was known already.
    bool accept(const JobSpec& spec, WallTime submitted, TimePoint now);
    /// Nothing where the job, or its terminal state, is not durable yet or not known.
    [[nodiscard]] std::optional<JobStatus> status(const std::string& id) const {
        return job_table_.status(id);
    }
    /// Whether its record is in the key-value store.
    [[nodiscard]] bool durable(const std::string& id) const;
    /// Whether tasks of it may be on machines that have not shown this term's fencing token.
    [[nodiscard]] bool may_have_unfenced_tasks(const std::string& id) const;
    /// Jobs with tasks on machines whose user may have been answered, by this leader or a former
    /// one, that they are cancelled.
    [[nodiscard]] std::set<std::string> jobs_to_end() const { return agents_.jobs_to_end(); }
    /// Whether its acceptance here met a record that was there before.
    [[nodiscard]] bool met_existing_record(const std::string& id) const;
    /// Marks a job as cancelled; its record is written next. False: it is done already or unknown.
    bool cancel(const std::string& id, TimePoint now) { return job_table_.cancel(id, now); }
    /// A write met the record of this terminal state in the key-value store.
    void finished_by_record(const std::string& id, TerminalState terminal_state, TimePoint now) {
        job_table_.finished_by_record(id, terminal_state, now);
    }
    /// The job's first write met a record that another controller had written before.
    void adopt_existing_record(const JobRecord& record, std::uint64_t mod_revision, TimePoint now) {
        job_table_.adopt_existing_record(record, mod_revision, now);
    }

    // Agents (`AgentGateway`).

    /// Takes a heartbeat over, and returns what the agent is to do.
    HeartbeatResponse heartbeat(const Heartbeat& heartbeat, TimePoint now);
    /// Direct calls that are due now; each must be settled by `called`. Without `may_start` they
    /// carry no starts.
    [[nodiscard]] std::vector<DirectCommand> direct_commands(TimePoint now, bool may_start = true);
    /// Settles a direct call. `answer`: the heartbeat it brought back, null if there was none.
    void called(const DirectCommand& call, CommandOutcome outcome, const Heartbeat* answer,
                TimePoint now);

    /// The placement cycle: once each `Config::cycle`, and when something frees up.
    void cycle(TimePoint now);

    // The cloud (`Autoscaler`, `MachineInventory`).

    /// What to scale out and in now.
    [[nodiscard]] ScalingPlan plan_scaling(TimePoint now);
    /// The cloud has answered a scale-out with these machines, fewer than asked for perhaps.
    void scaled_out(const ScaleOutRequest& request, const std::vector<std::string>& names,
                    TimePoint now);
    /// The cloud has answered the release of these machines: they are gone.
    void released(const std::vector<std::string>& names);
    /// The cloud's whole list, asked for at `asked`.
    void listed(const std::vector<ListedMachine>& machines, TimePoint asked, TimePoint now);

    // Writing (`WriteQueue`).

    /// Records to be written now, urgent ones first, up to a number of operations.
    [[nodiscard]] std::vector<RecordWrite> changes(std::size_t most_operations,
                                                   TimePoint now) const;
    /// They are about to be written. Returns the jobs whose terminal state is sent for the first
    /// time; until it is known what became of that, no other state of theirs is answered.
    std::vector<std::string> sent(const std::vector<RecordWrite>& changes);
    /// The only write so far of these jobs' terminal states was certainly not carried out.
    void rejected(const std::vector<std::string>& terminal_states);
    /// They were written, under this mod_revision.
    void committed(const std::vector<RecordWrite>& changes, std::uint64_t mod_revision,
                   TimePoint now);
    /// The record's mod_revision is another than assumed.
    void set_mod_revision(RecordWrite::Type type, const std::string& id,
                          std::uint64_t mod_revision);
    /// Until then a former leader may still answer users what it knew (`leadership`), so that no
    /// terminal state is written.
    void hold_terminal_states_until(TimePoint until) {
        write_queue_.hold_terminal_states_until(until);
    }

    // For tests and logs.
    [[nodiscard]] std::size_t unconfirmed() const { return inventory_.unconfirmed(); }
    const std::map<std::string, Machine>& machines() const { return inventory_.all(); }
    const JobTable::Jobs& jobs() const { return job_table_.all(); }
    const AgentCounters& counts() const { return agents_.counts(); }
    /// Jobs that have started since the last call.
    [[nodiscard]] std::vector<StartLatencyBreakdown> take_started() {
        return agents_.take_started();
    }

  private:
    // In the order of what refers to what: each is constructed after what it holds references to.
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
