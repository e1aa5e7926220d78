#include "core/reconciliation/command_planner.hpp"

#include <algorithm>

namespace bendspindle::core {

TaskCommand command_for(TaskCommand::Verb verb, const ReportedTask& task) {
    return {verb, task.job, task.index, task.attempt, {}};
}

// Guard against ran_cancelled across any sequence of leaders: each response renews the agent's
// lease, so each must stop the tasks of finished jobs, even before the machine is fenced and
// whatever was commanded before. Otherwise a leader that fails after its response leaves the task
// running for one more lease.
std::vector<TaskCommand> CommandPlanner::stops_of_finished_jobs(const Heartbeat& heartbeat) const {
    std::vector<TaskCommand> out;
    for (const auto& task : heartbeat.tasks)
        if (task.state != TaskState::exited && must_stop(task.job))
            out.push_back(command_for(TaskCommand::Verb::stop, task));
    return out;
}

// Guard against ran_cancelled on a machine whose heartbeats do not arrive although direct calls do:
// cancelled tasks of a former term appear only in the answers to direct calls, so their stops are
// sent in direct calls as well.
void CommandPlanner::stop_orphaned_tasks(Machine& machine, TimePoint now,
                                         CommandBatch& commands) const {
    if (!machine.fencing.confirmed || !machine.untracked.orphaned_since) return;
    const bool possibly_lost =
        between(machine.untracked.orphans_stopped_at, now) > config_.workers.heartbeat * 2;
    if (machine.untracked.orphans_stopped_at != TimePoint{} && !possibly_lost) return;
    for (const auto& task : machine.reported_tasks)
        if (task.state != TaskState::exited && job_table_.is_orphaned(task.job) &&
            !commands.add(command_for(TaskCommand::Verb::stop, task)))
            return;
    machine.untracked.orphans_stopped_at = now;
}

// All open jobs are in memory before the first heartbeat is handled, so an unknown job is terminal.
bool CommandPlanner::must_stop(const std::string& id) const {
    const auto* job = job_table_.find(id);
    return job ? job->terminal.state == TerminalState::cancelled : job_table_.is_orphaned(id);
}

std::set<std::string> CommandPlanner::jobs_to_stop() const {
    std::set<std::string> out;
    for (const auto& [serial, job] : job_table_.all())
        if (job->terminal.state == TerminalState::cancelled && !job->assignments.empty())
            out.insert(job->spec.id);
    for (const auto& [name, machine] : inventory_.all())
        for (const auto& task : machine.reported_tasks)
            if (task.state != TaskState::exited && must_stop(task.job)) out.insert(task.job);
    return out;
}

void CommandPlanner::drain(TimePoint now) {
    for (auto& [name, machine] : inventory_.all()) {
        if (machine.draining()) drain(machine, now);
        if (machine.draining() || machine.reachability.inbound_unreachable_since) unbind(machine);
    }
}

// Guard against a gang that is delayed until it gives up: its other tasks waited for a task that
// was bound to a machine that no command reached.
void CommandPlanner::unbind(Machine& machine) {
    std::vector<std::pair<Job*, std::uint32_t>> bound;
    for (const auto& [key, task] : machine.assigned_tasks)
        if (task.assignment->stage == Assignment::Stage::bound)
            bound.push_back({task.job, key.index});
    // If the attempt was aborted for an earlier entry, all of its bound tasks are already
    // unassigned.
    for (const auto& [job, index] : bound) job_table_.end_attempt(*job, index);
}

void CommandPlanner::drain(Machine& machine, TimePoint now) {
    for (const auto& [key, task] : machine.assigned_tasks) {
        auto& job = *task.job;
        auto& assignment = *task.assignment;
        if (assignment.stage == Assignment::Stage::bound || assignment.stopping) continue;
        const bool saves = job.spec.checkpoint_interval > Seconds{0};
        if (machine.lifecycle.reclaim_at) {
            const auto left = between(now, *machine.lifecycle.reclaim_at);
            // A task that ends before the machine is reclaimed may continue. A task that cannot
            // save a checkpoint loses nothing by continuing.
            if (!saves || estimates_.remaining(job, assignment, now) < left) continue;
            if (left > job.spec.save_time + config_.workers.heartbeat + Seconds{1}) continue;
        }
        JobTable::stop_gracefully(job, assignment);
    }
}

void CommandPlanner::add_due_stops(Machine& machine, TimePoint now, CommandBatch& commands) const {
    if (!machine.fencing.confirmed) return;
    for (const auto& [key, task] : machine.assigned_tasks) {
        auto& assignment = *task.assignment;
        if (assignment.stage != Assignment::Stage::reported || !assignment.stopping) continue;
        // A task that was stopped with a grace period saves on its own. The command is repeated
        // only if the response that carried it may have been lost.
        const bool possibly_lost =
            between(assignment.stop_sent_at, now) > config_.workers.heartbeat * 2;
        if (assignment.state == TaskState::saving && assignment.grace > Seconds{0}) continue;
        if (assignment.stop_sent_at != TimePoint{} && !possibly_lost) continue;
        if (!commands.add({TaskCommand::Verb::stop, task.job->spec.id, key.index,
                           assignment.attempt, assignment.grace}))
            return;
        assignment.stop_sent_at = now;
    }
}

void CommandPlanner::add_ready_starts(Machine& machine, TimePoint now, bool direct,
                                      CommandBatch& commands) {
    if (!inventory_.usable(machine, now)) return;
    struct Ready {
        std::uint32_t index;
        AssignedTask task;
    };
    std::vector<Ready> ready;
    Resources taken = machine.untracked.resources;
    for (const auto& [key, task] : machine.assigned_tasks) {
        if (task.assignment->stage == Assignment::Stage::bound)
            ready.push_back({key.index, task});
        else
            taken += task.job->spec.need;
    }
    if (ready.empty()) return;
    // Order of the ready list: the task of the pipeline with the shortest makespan first, ties by
    // the longest RPM.
    std::stable_sort(ready.begin(), ready.end(), [](const Ready& a, const Ready& b) {
        const auto& x = *a.task.assignment;
        const auto& y = *b.task.assignment;
        if (x.rank != y.rank) return x.rank < y.rank;
        if (x.makespan != y.makespan) return x.makespan < y.makespan;
        return x.rpm > y.rpm;
    });
    const auto& size = catalog_[machine.identity.type].size;
    for (const auto& [index, task] : ready) {
        auto* job = task.job;
        if (!(size - taken).holds(job->spec.need)) break;
        auto& assignment = *task.assignment;
        if (!commands.add({TaskCommand::Verb::start, job->spec.id, index, assignment.attempt, {}}))
            return;
        taken += job->spec.need;
        assignment.stage = Assignment::Stage::commanded;
        assignment.started_in_agent_epoch = machine.fencing.agent_epoch;
        assignment.direct_start_unsettled = direct;
        assignment.stage_entered_at = assignment.commanded_at = now;
        job->starvation.waiting_since.reset();
        ++counts_.starts;
    }
}

}  // namespace bendspindle::core
