/// The interface of the core: agent messages, user requests and responses of the cloud and the
/// key-value store go in, decisions come out. Owns the modules and their order, and delegates each
/// call to the responsible one.
///
/// Has no clock, threads or I/O: the current time is passed in, and the caller (the leader state in
/// `state`) holds the lock. An instance lives for one term of one leader.
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
    // Not copyable: the modules hold references to each other.
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    [[nodiscard]] std::uint64_t term() const { return term_; }

    // Failover: the contents of the key-value store, loaded completely before the first heartbeat.

    /// Sets the cloud's catalog. Nothing is placed or scaled before.
    void set_types(std::vector<MachineType> types);
    void load_job(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);
    void load_machine(const ListedMachine& record, std::uint64_t mod_revision, TimePoint now);
    /// Registers records that cannot be read. Their jobs and machines are left alone; everything
    /// else continues.
    void load_unreadable_machine(const std::string& name, std::uint64_t mod_revision,
                                 TimePoint now);
    void quarantine(const std::string& job) { job_table_.quarantine(job); }
    [[nodiscard]] bool quarantined(const std::string& job) const {
        return job_table_.quarantined(job);
    }

    /// Adopts a job that another controller has accepted in this term. Returns false if the job is
    /// already known.
    bool adopt(const JobRecord& record, std::uint64_t mod_revision, TimePoint now);

    // User requests.

    /// Returns whether such a job could ever run.
    [[nodiscard]] Feasibility check(const JobSpec& spec) const;
    [[nodiscard]] bool knows(const std::string& id) const { return job_table_.knows(id); }
    /// Accepts a new job, whose record is written next. Returns false if the id is already known.
    bool accept(const JobSpec& spec, WallTime submitted, TimePoint now);
    /// Returns nothing if the job is unknown, or if the job or its terminal state is not durable
    /// yet.
    [[nodiscard]] std::optional<JobStatus> status(const std::string& id) const {
        return job_table_.status(id);
    }
    /// Returns whether the job's record is in the key-value store.
    [[nodiscard]] bool durable(const std::string& id) const;
    /// Forgets a job without a record, because the key-value store refuses its record for good.
    void refuse(const std::string& id) { job_table_.refuse(id); }
    /// Returns whether `refuse` forgot a job of this id recently and none was accepted since.
    [[nodiscard]] bool was_refused(const std::string& id) const {
        return job_table_.was_refused(id);
    }
    /// Returns whether tasks of the job may be on machines that have not reported this term's
    /// fencing token.
    [[nodiscard]] bool may_have_unfenced_tasks(const std::string& id) const;
    /// Returns the jobs that have tasks on machines and may have been reported to their users as
    /// cancelled, by this leader or a former one.
    [[nodiscard]] std::set<std::string> jobs_to_stop() const { return agents_.jobs_to_stop(); }
    /// Returns whether the job's first write found a record that already existed.
    [[nodiscard]] bool found_existing_record(const std::string& id) const;
    /// Cancels a job, whose record is written next. Returns false if the job is done or unknown.
    bool cancel(const std::string& id, TimePoint now) { return job_table_.cancel(id, now); }
    /// Applies a terminal state that a write found in the key-value store.
    void apply_recorded_terminal_state(const std::string& id, TerminalState terminal_state,
                                       TimePoint now) {
        job_table_.apply_recorded_terminal_state(id, terminal_state, now);
    }
    /// Replaces a job whose first write found a record of another controller by that record.
    void adopt_existing_record(const JobRecord& record, std::uint64_t mod_revision, TimePoint now) {
        job_table_.adopt_existing_record(record, mod_revision, now);
    }

    // Agents (`AgentGateway`).

    /// Applies a heartbeat and returns the response with the commands for the agent.
    HeartbeatResponse heartbeat(const Heartbeat& heartbeat, TimePoint now);
    /// Returns the direct calls that are due; the outcome of each must be passed to
    /// `complete_direct_call`. Without `may_start` the calls carry no starts.
    [[nodiscard]] std::vector<DirectCommand> direct_commands(TimePoint now, bool may_start = true);
    /// Applies the outcome of a direct call. `answer` is the heartbeat in its response, or null.
    void complete_direct_call(const DirectCommand& call, CommandOutcome outcome,
                              const Heartbeat* answer, TimePoint now);

    /// Runs the placement cycle. Called every `Config::cycle` and whenever resources become free.
    void cycle(TimePoint now);

    // The cloud (`Autoscaler`, `MachineInventory`).

    /// Returns the machines to scale out and in now.
    [[nodiscard]] ScalingPlan plan_scaling(TimePoint now);
    /// Applies the cloud's response to a scale-out, which may return fewer machines than requested.
    void scaled_out(const ScaleOutRequest& request, const std::vector<std::string>& names,
                    TimePoint now);
    /// Removes machines whose release the cloud has confirmed.
    void released(const std::vector<std::string>& names);
    /// Applies the complete machine list of the cloud, which was requested at `asked`.
    void apply_cloud_list(const std::vector<ListedMachine>& machines, TimePoint asked,
                          TimePoint now);

    // Record writes (`WriteQueue`).

    /// Returns the record writes that are due, the most urgent first, up to a number of operations.
    [[nodiscard]] std::vector<RecordWrite> due_writes(std::size_t max_operations,
                                                      TimePoint now) const;
    /// Records that the writes are about to be sent. Returns the jobs whose terminal state is sent
    /// for the first time. Until the outcome is known, no other state of these jobs is reported.
    std::vector<std::string> mark_sent(const std::vector<RecordWrite>& writes);
    /// Records that the only write so far of these jobs' terminal states was certainly not carried
    /// out.
    void mark_rejected(const std::vector<std::string>& terminal_states);
    /// Records that the writes succeeded with this mod_revision.
    void mark_committed(const std::vector<RecordWrite>& writes, std::uint64_t mod_revision,
                        TimePoint now);
    /// Sets the actual mod_revision of a record, where it differs from the expected one.
    void set_mod_revision(RecordWrite::Type type, const std::string& id,
                          std::uint64_t mod_revision);
    /// Delays all writes of terminal states. Until the given time a former leader may still answer
    /// users from its own state (`leadership`).
    void hold_terminal_states_until(TimePoint until) {
        write_queue_.hold_terminal_states_until(until);
    }

    // For tests and logs.
    [[nodiscard]] std::size_t unfenced_machine_count() const {
        return inventory_.unfenced_machine_count();
    }
    const std::map<std::string, Machine>& machines() const { return inventory_.all(); }
    const JobTable::Jobs& jobs() const { return job_table_.all(); }
    const AgentCounters& counts() const { return agents_.counts(); }
    /// Returns the jobs that have started since the last call.
    [[nodiscard]] std::vector<StartLatencyBreakdown> take_started() {
        return agents_.take_started();
    }

  private:
    // In order of dependency: each member is constructed after those that it refers to.
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
