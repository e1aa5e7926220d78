#include "core/reconciliation/task_reconciliation.hpp"

#include <algorithm>

namespace bendspindle::core {

namespace {

bool is_placement(const Job& job, const Machine& machine, const ReportedTask& task) {
    const auto it = job.placed.find(task.index);
    return it != job.placed.end() && it->second.machine == machine.name &&
           it->second.attempt == task.attempt && it->second.stage != Assignment::Stage::bound;
}

}  // namespace

// Most reports say what the one before said. They change nothing unless an order is on its way or
// an exited task waits for its done-set.
bool Reconciliation::nothing_new(const Machine& machine, const Heartbeat& heartbeat) const {
    const auto settled = [](const auto& entry) {
        return entry.second.assignment->stage == Assignment::Stage::on;
    };
    const auto present = [](const ReportedTask& task) { return task.state != TaskState::exited; };
    return machine.tasks == heartbeat.tasks && machine.tasks.size() == machine.held.size() &&
           std::all_of(machine.held.begin(), machine.held.end(), settled) &&
           std::all_of(machine.tasks.begin(), machine.tasks.end(), present);
}

void Reconciliation::reconcile(Machine& machine, const Heartbeat& heartbeat, Source source,
                               TimePoint now, std::vector<TaskCommand>& commands) {
    if (nothing_new(machine, heartbeat)) return;
    machine.tasks = heartbeat.tasks;
    Seen seen;
    for (const auto& task : heartbeat.tasks) take_over_task(machine, task, now, seen, commands);
    std::vector<HeldKey> held;
    for (const auto& [key, task] : machine.held) held.push_back(key);
    settle_absent(machine, held, heartbeat, source, seen, now, commands);
    count_strays(machine, now);
    std::set<std::uint64_t> serials;
    for (const auto& key : held) serials.insert(key.first);
    for (const auto serial : serials) {
        const auto it = job_table_.all().find(serial);
        if (it != job_table_.all().end()) job_table_.forget_if_over(*it->second);
    }
}

void Reconciliation::take_over_task(Machine& machine, const ReportedTask& task, TimePoint now,
                                    Seen& seen, std::vector<TaskCommand>& commands) {
    auto* job = job_table_.find(task.job);
    const bool exited = task.state == TaskState::exited;
    // Guard: not over, only not understood here; another version may be.
    if (!job && job_table_.quarantined(task.job)) return;
    // All open jobs are in memory before the first report is handled, so an unknown one is
    // over, and nothing of it is wanted.
    if (!job || task.index >= job->spec.tasks) {
        // Guard against ran_cancelled: a copy of its start in a direct call may still arrive, half
        // a minute after the cancellation, and would start it had the worker forgotten the attempt.
        if (exited && machine.unanswered.contains({task.job, task.attempt})) return;
        commands.push_back(
            order_for(exited ? TaskCommand::Verb::acknowledge : TaskCommand::Verb::stop, task));
        return;
    }
    job->last_attempt = std::max(job->last_attempt, task.attempt);
    const bool ours = is_placement(*job, machine, task);
    if (exited) {
        if (ours) seen.insert({job->serial, task.index});
        take_over_exit(machine, *job, task, now, commands);
        return;
    }
    const auto it = job->placed.find(task.index);
    if (!ours && it != job->placed.end()) {
        commands.push_back(order_for(TaskCommand::Verb::stop, task));
        return;
    }
    seen.insert({job->serial, task.index});
    if (ours) {
        auto& assignment = it->second;
        if (assignment.stage != Assignment::Stage::on) assignment.since = assignment.on_at = now;
        assignment.stage = Assignment::Stage::on;
        assignment.in_flight = false;
        const bool was_running = assignment.state == TaskState::running;
        assignment.state = task.state;
        if (task.state == TaskState::running && !was_running) {
            assignment.running_from = now;
            starts_.note(*job, now);
        }
    } else {
        adopt(machine, *job, task, now);
    }
    if (task.state != TaskState::fetching) inventory_.note_image(machine, *job);
}

void Reconciliation::take_over_exit(Machine& machine, Job& job, const ReportedTask& task,
                                    TimePoint now, std::vector<TaskCommand>& commands) {
    task_exited(machine, job, task, now);
    const bool done = task.cause == ExitCause::done;
    // Guard against repeated work: a result may be forgotten only when the done-set that
    // holds it is durable.
    const bool keep = done && !job.over() && job.phase[task.index] != TaskPhase::durable;
    const bool last =
        done && job.terminal_state == TerminalState::done && !job.terminal_state_durable;
    const bool may_return = machine.unanswered.contains({task.job, task.attempt});
    if (!keep && !last && !may_return)
        commands.push_back(order_for(TaskCommand::Verb::acknowledge, task));
}

// Guard against ran_twice after a takeover: whatever a confirmed machine runs takes the task's
// place, wanted or not, so that nothing starts elsewhere before it is gone. This holds while the
// catalog is not read yet, too: the type is judged only when known.
void Reconciliation::adopt(Machine& machine, Job& job, const ReportedTask& task, TimePoint now) {
    const bool same_gang =
        job.spec.kind != Kind::gang ||
        std::all_of(job.placed.begin(), job.placed.end(),
                    [&](const auto& other) { return other.second.attempt == task.attempt; });
    const bool wanted = !job.over() && job.phase[task.index] == TaskPhase::idle && same_gang &&
                        (!machine.type_known || inventory_.allows(job.spec, machine));
    Assignment assignment;
    assignment.machine = machine.name;
    assignment.attempt = task.attempt;
    assignment.stage = Assignment::Stage::on;
    assignment.state = task.state;
    assignment.since = assignment.running_from = now;
    if (!wanted) JobTable::stop(assignment, Seconds{0});
    job_table_.hold(machine, job, task.index, assignment);
}

// What the machine holds by our books but does not report.
void Reconciliation::settle_absent(Machine& machine, const std::vector<HeldKey>& held,
                                   const Heartbeat& heartbeat, Source source, const Seen& seen,
                                   TimePoint now, std::vector<TaskCommand>& commands) {
    for (const auto& key : held) {
        const auto entry = machine.held.find(key);
        if (seen.contains(key) || entry == machine.held.end()) continue;
        auto& job = *entry->second.job;
        auto& assignment = *entry->second.assignment;
        if (assignment.stage == Assignment::Stage::bound) continue;
        const bool same_agent_epoch = heartbeat.agent_epoch == assignment.started_in_agent_epoch;
        if (assignment.in_flight && same_agent_epoch) {
            // Once the call is given up, the same start is repeated the sure way: the worker
            // then has the attempt, and a late copy of the call does nothing.
            if (!machine.call_out && !job.over() && !assignment.stopping)
                commands.push_back(
                    {TaskCommand::Verb::start, job.spec.id, key.second, assignment.attempt, {}});
            continue;
        }
        const auto attempt = assignment.attempt;
        if (assignment.stage == Assignment::Stage::ordered) {
            // Guard against ran_twice: the answer to a direct call may overtake the answer to a
            // report, and the start that the latter carries is still to come.
            if (source == Source::direct_answer && same_agent_epoch) continue;
            // The worker sent this report after it took or gave up the answer with the start, so
            // the start has not happened and never will.
            ++counts_.refused_starts;
            if (!job.over() && !assignment.stopping && job.spec.kind != Kind::gang) {
                assignment.stage = Assignment::Stage::bound;
                assignment.since = now;
                continue;
            }
            job_table_.drop(job, key.second);
            if (!job.over()) job_table_.break_gang(job, attempt);
            continue;
        }
        ++counts_.lost;
        job_table_.drop(job, key.second);
        job_table_.break_gang(job, attempt);
    }
}

void Reconciliation::count_strays(Machine& machine, TimePoint now) const {
    machine.untracked_resources = Resources{};
    machine.has_orphaned_tasks = false;
    bool over = false;
    for (const auto& task : machine.tasks) {
        if (task.state == TaskState::exited) continue;
        over = over || job_table_.is_orphaned(task.job);
        const auto* job = job_table_.find(task.job);
        if (!job)
            machine.has_orphaned_tasks = true;
        else if (!machine.held.contains({job->serial, task.index}))
            machine.untracked_resources += job->spec.need;
    }
    if (!over) {
        machine.orphaned_since.reset();
        machine.orphans_stopped_at = TimePoint{};
    } else if (!machine.orphaned_since) {
        machine.orphaned_since = now;
    }
    if (!machine.has_orphaned_tasks || !machine.type_known) return;
    // What a task of an unknown job takes is not known: all that is left, until it is gone.
    machine.untracked_resources = catalog_[machine.type].size;
    for (const auto& [key, task] : machine.held) machine.untracked_resources -= task.job->spec.need;
}

void Reconciliation::task_exited(Machine& machine, Job& job, const ReportedTask& task,
                                 TimePoint now) {
    const bool ours = is_placement(job, machine, task);
    if (task.cause == ExitCause::done) {
        if (ours) {
            const auto& assignment = job.placed.at(task.index);
            if (assignment.stage == Assignment::Stage::on && assignment.state == TaskState::running)
                estimates_.ran(job, between(assignment.running_from, now));
            job_table_.drop(job, task.index);
        }
        failure_attribution_.task_done(machine, job);
        inventory_.note_image(machine, job);
        job_table_.complete(job, task.index, now);
        return;
    }
    if (!ours) return;
    const auto ordered_at = job.placed.at(task.index).ordered_at;
    job_table_.drop(job, task.index);
    if (task.cause == ExitCause::error) {
        ++counts_.errors;
        failure_attribution_.task_failed(machine, job, ordered_at, now);
    }
    if (!job.over()) job_table_.break_gang(job, task.attempt);
}

}  // namespace bendspindle::core
