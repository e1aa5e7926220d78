#include "core/reconciliation.hpp"

#include <algorithm>

namespace bendspindle::core {

namespace {

bool is_placement(const Job& job, const Machine& machine, const ReportedTask& task) {
    const auto it = job.placed.find(task.index);
    return it != job.placed.end() && it->second.machine == machine.name &&
           it->second.attempt == task.attempt && it->second.stage != Placement::Stage::bound;
}

}  // namespace

// Most reports say what the one before said. They change nothing unless an order is on its way or
// an exited task waits for its done-set.
bool Reconciliation::nothing_new(const Machine& machine, const Report& report) const {
    const auto settled = [](const auto& entry) {
        return entry.second.placement->stage == Placement::Stage::on;
    };
    const auto present = [](const ReportedTask& task) { return task.state != TaskState::exited; };
    return machine.tasks == report.tasks && machine.tasks.size() == machine.held.size() &&
           std::all_of(machine.held.begin(), machine.held.end(), settled) &&
           std::all_of(machine.tasks.begin(), machine.tasks.end(), present);
}

void Reconciliation::reconcile(Machine& machine, const Report& report, Source source, TimePoint now,
                               std::vector<Order>& orders) {
    if (nothing_new(machine, report)) return;
    machine.tasks = report.tasks;
    Seen seen;
    for (const auto& task : report.tasks) take_over_task(machine, task, now, seen, orders);
    std::vector<HeldKey> held;
    for (const auto& [key, task] : machine.held) held.push_back(key);
    settle_absent(machine, held, report, source, seen, now, orders);
    count_strays(machine, now);
    std::set<std::uint64_t> serials;
    for (const auto& key : held) serials.insert(key.first);
    for (const auto serial : serials) {
        const auto it = pipelines_.all().find(serial);
        if (it != pipelines_.all().end()) pipelines_.forget_if_over(*it->second);
    }
}

void Reconciliation::take_over_task(Machine& machine, const ReportedTask& task, TimePoint now,
                                    Seen& seen, std::vector<Order>& orders) {
    auto* job = pipelines_.find(task.job);
    const bool exited = task.state == TaskState::exited;
    // Guard: not over, only not understood here; another version may be.
    if (!job && pipelines_.aside(task.job)) return;
    // All open jobs are in memory before the first report is handled, so an unknown one is
    // over, and nothing of it is wanted.
    if (!job || task.index >= job->spec.tasks) {
        // Guard against ran_cancelled: a copy of its start in a direct call may still arrive, half
        // a minute after the cancellation, and would start it had the worker forgotten the attempt.
        if (exited && machine.unanswered.contains({task.job, task.attempt})) return;
        orders.push_back(order_for(exited ? Order::Verb::forget : Order::Verb::stop, task));
        return;
    }
    job->last_attempt = std::max(job->last_attempt, task.attempt);
    const bool ours = is_placement(*job, machine, task);
    if (exited) {
        if (ours) seen.insert({job->serial, task.index});
        take_over_exit(machine, *job, task, now, orders);
        return;
    }
    const auto it = job->placed.find(task.index);
    if (!ours && it != job->placed.end()) {
        orders.push_back(order_for(Order::Verb::stop, task));
        return;
    }
    seen.insert({job->serial, task.index});
    if (ours) {
        auto& placement = it->second;
        if (placement.stage != Placement::Stage::on) placement.since = placement.on_at = now;
        placement.stage = Placement::Stage::on;
        placement.in_flight = false;
        const bool was_running = placement.state == TaskState::running;
        placement.state = task.state;
        if (task.state == TaskState::running && !was_running) {
            placement.running_from = now;
            starts_.note(*job, now);
        }
    } else {
        adopt(machine, *job, task, now);
    }
    if (task.state != TaskState::fetching) fleet_.note_image(machine, *job);
}

void Reconciliation::take_over_exit(Machine& machine, Job& job, const ReportedTask& task,
                                    TimePoint now, std::vector<Order>& orders) {
    task_exited(machine, job, task, now);
    const bool done = task.cause == ExitCause::done;
    // Guard against repeated work: a result may be forgotten only when the done-set that
    // holds it is durable.
    const bool keep = done && !job.over() && job.phase[task.index] != TaskPhase::durable;
    const bool last = done && job.final == Final::done && !job.final_durable;
    const bool may_return = machine.unanswered.contains({task.job, task.attempt});
    if (!keep && !last && !may_return) orders.push_back(order_for(Order::Verb::forget, task));
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
                        (!machine.type_known || fleet_.allows(job.spec, machine));
    Placement placement;
    placement.machine = machine.name;
    placement.attempt = task.attempt;
    placement.stage = Placement::Stage::on;
    placement.state = task.state;
    placement.since = placement.running_from = now;
    if (!wanted) Pipelines::stop(placement, Seconds{0});
    pipelines_.hold(machine, job, task.index, placement);
}

// What the machine holds by our books but does not report.
void Reconciliation::settle_absent(Machine& machine, const std::vector<HeldKey>& held,
                                   const Report& report, Source source, const Seen& seen,
                                   TimePoint now, std::vector<Order>& orders) {
    for (const auto& key : held) {
        const auto entry = machine.held.find(key);
        if (seen.contains(key) || entry == machine.held.end()) continue;
        auto& job = *entry->second.job;
        auto& placement = *entry->second.placement;
        if (placement.stage == Placement::Stage::bound) continue;
        const bool same_session = report.session == placement.ordered_session;
        if (placement.in_flight && same_session) {
            // Once the call is given up, the same start is repeated the sure way: the worker
            // then has the attempt, and a late copy of the call does nothing.
            if (!machine.call_out && !job.over() && !placement.stopping)
                orders.push_back(
                    {Order::Verb::start, job.spec.id, key.second, placement.attempt, {}});
            continue;
        }
        const auto attempt = placement.attempt;
        if (placement.stage == Placement::Stage::ordered) {
            // Guard against ran_twice: the answer to a direct call may overtake the answer to a
            // report, and the start that the latter carries is still to come.
            if (source == Source::direct_answer && same_session) continue;
            // The worker sent this report after it took or gave up the answer with the start, so
            // the start has not happened and never will.
            ++counts_.refused_starts;
            if (!job.over() && !placement.stopping && job.spec.kind != Kind::gang) {
                placement.stage = Placement::Stage::bound;
                placement.since = now;
                continue;
            }
            pipelines_.drop(job, key.second);
            if (!job.over()) pipelines_.break_gang(job, attempt);
            continue;
        }
        ++counts_.lost;
        pipelines_.drop(job, key.second);
        pipelines_.break_gang(job, attempt);
    }
}

void Reconciliation::count_strays(Machine& machine, TimePoint now) const {
    machine.strays = Resources{};
    machine.strangers = false;
    bool over = false;
    for (const auto& task : machine.tasks) {
        if (task.state == TaskState::exited) continue;
        over = over || pipelines_.stranger(task.job);
        const auto* job = pipelines_.find(task.job);
        if (!job)
            machine.strangers = true;
        else if (!machine.held.contains({job->serial, task.index}))
            machine.strays += job->spec.need;
    }
    if (!over) {
        machine.strangers_since.reset();
        machine.strangers_told = TimePoint{};
    } else if (!machine.strangers_since) {
        machine.strangers_since = now;
    }
    if (!machine.strangers || !machine.type_known) return;
    // What a task of an unknown job takes is not known: all that is left, until it is gone.
    machine.strays = catalog_[machine.type].size;
    for (const auto& [key, task] : machine.held) machine.strays -= task.job->spec.need;
}

void Reconciliation::task_exited(Machine& machine, Job& job, const ReportedTask& task,
                                 TimePoint now) {
    const bool ours = is_placement(job, machine, task);
    if (task.cause == ExitCause::done) {
        if (ours) {
            const auto& placement = job.placed.at(task.index);
            if (placement.stage == Placement::Stage::on && placement.state == TaskState::running)
                estimates_.ran(job, between(placement.running_from, now));
            pipelines_.drop(job, task.index);
        }
        failures_.task_done(machine, job);
        fleet_.note_image(machine, job);
        pipelines_.complete(job, task.index, now);
        return;
    }
    if (!ours) return;
    const auto ordered_at = job.placed.at(task.index).ordered_at;
    pipelines_.drop(job, task.index);
    if (task.cause == ExitCause::error) {
        ++counts_.errors;
        failures_.task_failed(machine, job, ordered_at, now);
    }
    if (!job.over()) pipelines_.break_gang(job, task.attempt);
}

}  // namespace bendspindle::core
