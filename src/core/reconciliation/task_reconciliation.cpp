#include "core/reconciliation/task_reconciliation.hpp"

#include <algorithm>

#include "core/model/message_size.hpp"
#include "core/reconciliation/direct_commands.hpp"

namespace bendspindle::core {

namespace {

// Returns whether the assignment is of the reported attempt, whose start was commanded.
bool is_commanded_attempt(const Assignment& assignment, const ReportedTask& task) {
    return assignment.attempt == task.attempt && assignment.stage != Assignment::Stage::bound;
}

bool matches_assignment(const Job& job, const Machine& machine, const ReportedTask& task) {
    const auto it = job.assignments.find(task.index);
    return it != job.assignments.end() && it->second.machine == machine.identity.name &&
           is_commanded_attempt(it->second, task);
}

}  // namespace

// Most heartbeats repeat the previous one. They change nothing unless a command is in flight or an
// exited task waits for its done-set.
bool Reconciliation::is_unchanged(const Machine& machine, const Heartbeat& heartbeat) const {
    const auto settled = [](const auto& entry) {
        return entry.second.assignment->stage == Assignment::Stage::reported;
    };
    const auto present = [](const ReportedTask& task) { return task.state != TaskState::exited; };
    return machine.reported_tasks == heartbeat.tasks &&
           machine.reported_tasks.size() == machine.assigned_tasks.size() &&
           std::all_of(machine.assigned_tasks.begin(), machine.assigned_tasks.end(), settled) &&
           std::all_of(machine.reported_tasks.begin(), machine.reported_tasks.end(), present);
}

void Reconciliation::reconcile(Machine& machine, const Heartbeat& heartbeat, Source source,
                               TimePoint now, CommandBatch& commands) {
    if (is_unchanged(machine, heartbeat)) return;
    machine.reported_tasks = heartbeat.tasks;
    Seen seen;
    for (const auto& task : heartbeat.tasks) reconcile_task(machine, task, now, seen, commands);
    std::vector<TaskKey> assigned;
    for (const auto& [key, task] : machine.assigned_tasks) assigned.push_back(key);
    reconcile_absent(machine, assigned, heartbeat, source, seen, now, commands);
    update_untracked(machine, now);
    std::set<std::uint64_t> serials;
    for (const auto& key : assigned) serials.insert(key.job_serial);
    for (const auto serial : serials) {
        const auto it = job_table_.all().find(serial);
        if (it != job_table_.all().end()) job_table_.forget_if_terminal(*it->second);
    }
}

void Reconciliation::reconcile_task(Machine& machine, const ReportedTask& task, TimePoint now,
                                    Seen& seen, CommandBatch& commands) {
    auto* job = job_table_.find(task.job);
    const bool exited = task.state == TaskState::exited;
    // Guard against stopping tasks because their job's record is unreadable: the job is open, and
    // another version of the controller may be able to read the record.
    if (!job && job_table_.quarantined(task.job)) return;
    // All open jobs are in memory before the first heartbeat is handled, so an unknown job is
    // terminal and its tasks are stopped.
    const bool assigned_here = job && matches_assignment(*job, machine, task);
    if (!exited && !assigned_here && job_table_.is_of_this_term(task.attempt)) ++counts_.unexpected;
    if (!job || task.index >= job->spec.tasks) {
        if (exited)
            acknowledge(machine, task, commands);
        else
            commands.add(command_for(TaskCommand::Verb::stop, task));
        return;
    }
    job->last_attempt = std::max(job->last_attempt, task.attempt);
    if (exited) {
        if (assigned_here) seen.insert({job->serial, task.index});
        reconcile_exit(machine, *job, task, now, commands);
        return;
    }
    const auto it = job->assignments.find(task.index);
    if (!assigned_here && it != job->assignments.end()) {
        commands.add(command_for(TaskCommand::Verb::stop, task));
        return;
    }
    seen.insert({job->serial, task.index});
    if (assigned_here) {
        auto& assignment = it->second;
        if (assignment.stage != Assignment::Stage::reported)
            assignment.stage_entered_at = assignment.reported_at = now;
        assignment.stage = Assignment::Stage::reported;
        assignment.direct_start_unsettled = false;
        const bool was_running = assignment.state == TaskState::running;
        assignment.state = task.state;
        if (task.state == TaskState::running && !was_running) {
            assignment.running_since = now;
            start_latency_.record_if_started(*job, now);
        }
    } else {
        adopt(machine, *job, task, now);
    }
    if (task.state != TaskState::fetching) inventory_.add_cached_image(machine, *job);
}

void Reconciliation::reconcile_exit(Machine& machine, Job& job, const ReportedTask& task,
                                    TimePoint now, CommandBatch& commands) {
    apply_exit(machine, job, task, now);
    const bool done = task.cause == ExitCause::done;
    // Guard against repeated work: a result may be forgotten only when the done-set that contains
    // it is durable.
    const bool awaiting_done_set =
        done && !job.is_terminal() && job.progress.phase[task.index] != TaskPhase::durable;
    const bool awaiting_terminal_write =
        done && job.terminal.state == TerminalState::done && !job.terminal.durable;
    if (!awaiting_done_set && !awaiting_terminal_write) acknowledge(machine, task, commands);
}

void Reconciliation::acknowledge(const Machine& machine, const ReportedTask& task,
                                 CommandBatch& commands) {
    if (DirectCommands::may_acknowledge(machine))
        commands.add(command_for(TaskCommand::Verb::acknowledge, task));
}

// Guard against ran_twice after a failover: every task that a fenced machine runs is assigned to
// that machine, even if it is to be stopped, so that the task starts nowhere else before it is
// gone. This also holds before the catalog is read: the type is checked only if it is known.
void Reconciliation::adopt(Machine& machine, Job& job, const ReportedTask& task, TimePoint now) {
    const bool same_gang =
        job.spec.kind != Kind::gang ||
        std::all_of(job.assignments.begin(), job.assignments.end(),
                    [&](const auto& other) { return other.second.attempt == task.attempt; });
    const bool wanted = !job.is_terminal() && job.progress.phase[task.index] == TaskPhase::idle &&
                        same_gang &&
                        (!machine.identity.type_known || inventory_.allows(job.spec, machine));
    Assignment assignment;
    assignment.machine = machine.identity.name;
    assignment.attempt = task.attempt;
    assignment.stage = Assignment::Stage::reported;
    assignment.state = task.state;
    assignment.stage_entered_at = assignment.running_since = now;
    if (!wanted) JobTable::stop(assignment, Seconds{0});
    job_table_.assign(machine, job, task.index, assignment);
}

// Handles tasks that are assigned to the machine but missing from its task list.
void Reconciliation::reconcile_absent(Machine& machine, const std::vector<TaskKey>& assigned,
                                      const Heartbeat& heartbeat, Source source, const Seen& seen,
                                      TimePoint now, CommandBatch& commands) {
    for (const auto& key : assigned) {
        const auto entry = machine.assigned_tasks.find(key);
        if (seen.contains(key) || entry == machine.assigned_tasks.end()) continue;
        auto& job = *entry->second.job;
        auto& assignment = *entry->second.assignment;
        if (assignment.stage == Assignment::Stage::bound) continue;
        const bool same_agent_epoch = heartbeat.agent_epoch == assignment.started_in_agent_epoch;
        if (assignment.direct_start_unsettled && same_agent_epoch) {
            if (!machine.direct_calls.in_progress)
                repeat_unsettled_start(job, key.index, assignment, commands);
            continue;
        }
        if (assignment.stage == Assignment::Stage::commanded) {
            // Guard against ran_twice: the answer to a direct call may overtake the heartbeat
            // response that carries the start, which may still take effect.
            if (source == Source::direct_answer && same_agent_epoch) continue;
            // The agent sent this heartbeat after it had processed or given up the response with
            // the start, so the start has not taken effect and never will.
            ++counts_.refused_starts;
            if (!job.is_terminal() && !assignment.stopping && job.spec.kind != Kind::gang) {
                assignment.stage = Assignment::Stage::bound;
                assignment.stage_entered_at = now;
                continue;
            }
        } else {
            ++counts_.lost;
        }
        job_table_.end_attempt(job, key.index);
    }
}

// Once the direct call has failed, the same start is repeated in a heartbeat response. The agent
// then knows the attempt, so a late copy of the call has no effect, and its task list shows what
// became of the task.
//
// Guard against left_waiting: a task that is to be stopped is started as well, and stopped by the
// next command. When its start was not repeated, nothing showed that the task was gone: it kept its
// place on the machine and was never placed again.
void Reconciliation::repeat_unsettled_start(const Job& job, std::uint32_t index,
                                            const Assignment& assignment, CommandBatch& commands) {
    // Guard against ran_cancelled: no task of a cancelled job is started. Its machine is released
    // in time (`MachineInventory::must_be_released`).
    if (job.terminal.state == TerminalState::cancelled) return;
    const TaskCommand start{TaskCommand::Verb::start, job.spec.id, index, assignment.attempt, {}};
    const TaskCommand stop{TaskCommand::Verb::stop, job.spec.id, index, assignment.attempt,
                           assignment.grace};
    if (assignment.stopping || job.is_terminal())
        commands.add_together({start, stop});
    else
        commands.add(start);
}

// Guards against left_waiting: an agent lists an exited task until the acknowledgement arrives.
// When these entries did not count, tasks that ended faster than they were acknowledged made
// heartbeats larger than a message may be, and the lease of the machine expired.
void Reconciliation::update_untracked(Machine& machine, TimePoint now) const {
    machine.untracked.resources = Resources{};
    machine.untracked.has_unknown_tasks = false;
    machine.untracked.has_quarantined_tasks = false;
    bool orphaned = false;
    double heartbeat_bytes = 0;
    machine.untracked.unacknowledgeable_bytes = 0;
    for (const auto& task : machine.reported_tasks) {
        const auto* job = job_table_.find(task.job);
        const bool exited = task.state == TaskState::exited;
        const auto assigned = job ? machine.assigned_tasks.find({job->serial, task.index})
                                  : machine.assigned_tasks.end();
        const bool is_assigned = assigned != machine.assigned_tasks.end();
        // The entry of an assigned attempt is part of its job's need.
        if (!is_assigned || !is_commanded_attempt(*assigned->second.assignment, task)) {
            const auto entry_bytes = static_cast<double>(max_task_entry_bytes(task.job));
            heartbeat_bytes += entry_bytes;
            if (exited && job_table_.quarantined(task.job))
                machine.untracked.unacknowledgeable_bytes += entry_bytes;
        }
        if (exited) continue;
        if (!job) {
            machine.untracked.has_unknown_tasks = true;
            if (job_table_.quarantined(task.job)) machine.untracked.has_quarantined_tasks = true;
            orphaned = orphaned || job_table_.is_orphaned(task.job);
        } else if (!is_assigned) {
            machine.untracked.resources += job->spec.need;
        }
    }
    machine.untracked.resources.heartbeat_bytes = heartbeat_bytes;
    if (!orphaned) {
        machine.untracked.orphaned_since.reset();
        machine.untracked.orphans_stopped_at = TimePoint{};
    } else if (!machine.untracked.orphaned_since) {
        machine.untracked.orphaned_since = now;
    }
    if (!machine.untracked.has_unknown_tasks || !machine.identity.type_known) return;
    // The resources of a task of an unknown job are not known: it is assumed to use everything that
    // is left until it is gone.
    machine.untracked.resources = catalog_[machine.identity.type].size;
    for (const auto& [key, task] : machine.assigned_tasks)
        machine.untracked.resources -= task.job->spec.need;
    machine.untracked.resources.heartbeat_bytes = heartbeat_bytes;
}

void Reconciliation::apply_exit(Machine& machine, Job& job, const ReportedTask& task,
                                TimePoint now) {
    const bool assigned_here = matches_assignment(job, machine, task);
    if (task.cause == ExitCause::done) {
        if (assigned_here) {
            const auto& assignment = job.assignments.at(task.index);
            if (assignment.stage == Assignment::Stage::reported &&
                assignment.state == TaskState::running)
                estimates_.record_run_time(job, between(assignment.running_since, now));
            job_table_.unassign(job, task.index);
        }
        failure_attribution_.record_completion(machine, job);
        inventory_.add_cached_image(machine, job);
        job_table_.complete(job, task.index, now);
        return;
    }
    if (!assigned_here) return;
    const auto commanded_at = job.assignments.at(task.index).commanded_at;
    job_table_.end_attempt(job, task.index);
    if (task.cause == ExitCause::error) {
        ++counts_.errors;
        failure_attribution_.record_failure(machine, job, commanded_at, now);
    }
}

}  // namespace bendspindle::core
