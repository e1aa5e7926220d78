#include "core/dispatch.hpp"

#include <algorithm>
#include <cmath>

namespace bendspindle::core {

namespace {

constexpr Seconds ask_again{3};
// A job that fails waits ever longer before the next try, up to the last of these.
constexpr Seconds first_pause{0.5};
constexpr Seconds longest_pause{30};
constexpr std::uint32_t pauses_counted = 6;
// Failures of this many jobs speak against the machine, or of more that have failed on others as
// well and on none been done: either they are mistaken or several machines are faulty.
constexpr double against_a_machine = 2;
constexpr double of_a_suspect = 0.5;

bool is_placement(const Job& job, const Machine& machine, const ReportedTask& task) {
    const auto it = job.placed.find(task.index);
    return it != job.placed.end() && it->second.machine == machine.name &&
           it->second.attempt == task.attempt && it->second.stage != Placement::Stage::bound;
}

Order order_for(Order::Verb verb, const ReportedTask& task) {
    return {verb, task.job, task.index, task.attempt, {}};
}

}  // namespace

std::vector<DirectCall> Dispatch::direct_calls(TimePoint now, bool may_start) {
    std::vector<DirectCall> out;
    for (auto& [name, machine] : fleet_.all()) {
        if (machine.call_out || machine.address.empty() || machine.releasing) continue;
        DirectCall call{
            name, machine.address, epoch_, std::max<std::uint64_t>(machine.session, 1), {}};
        if ((machine.durable && !machine.confirmed) || machine.deaf_since) {
            // Each recorded machine is asked at once after a takeover: a former controller that
            // does not know it is one may keep the workers' reports to itself. One that does not
            // seem to hear is asked until it answers.
            if (machine.last_call != TimePoint{} && between(machine.last_call, now) < ask_again)
                continue;
        } else {
            stop_ready(machine, now, call.orders);
            if (may_start) start_ready(machine, now, true, call.orders);
            if (call.orders.empty()) continue;
        }
        machine.call_out = true;
        machine.last_call = now;
        out.push_back(std::move(call));
    }
    return out;
}

// A stop whose direct call failed travels with the next answer to a report.
void Dispatch::repeat_stop(const Order& order) {
    auto* job = pipelines_.find(order.job);
    if (!job) return;
    const auto placed = job->placed.find(order.index);
    if (placed != job->placed.end() && placed->second.attempt == order.attempt)
        placed->second.stop_sent = TimePoint{};
}

void Dispatch::settle_start(Machine& machine, const Order& order, const DirectCall& call,
                            CallOutcome outcome, const Report* answer) {
    if (outcome == CallOutcome::unknown) machine.unanswered.insert({order.job, order.attempt});
    auto* job = pipelines_.find(order.job);
    if (!job) return;
    const auto placed = job->placed.find(order.index);
    if (placed == job->placed.end()) return;
    auto& placement = placed->second;
    if (placement.attempt != order.attempt || placement.machine != call.machine ||
        placement.stage != Placement::Stage::ordered || !placement.in_flight)
        return;
    if (outcome == CallOutcome::executed && answer) {
        placement.in_flight = false;
        placement.ordered_session = answer->session;
    } else if (outcome == CallOutcome::rejected) {
        placement.in_flight = false;
        placement.stage = Placement::Stage::bound;
    }
}

void Dispatch::called(const DirectCall& call, CallOutcome outcome, const Report* answer,
                      TimePoint now) {
    auto* machine = fleet_.find(call.machine);
    if (!machine) return;
    machine->call_out = false;
    for (const auto& order : call.orders) {
        if (order.verb == Order::Verb::stop && outcome != CallOutcome::executed) repeat_stop(order);
        if (order.verb == Order::Verb::start) settle_start(*machine, order, call, outcome, answer);
    }
    if (!answer || answer->token > epoch_ || machine->has_seen(*answer)) return;
    // The worker was asked under a wrong session; the right one is tried at once.
    if (answer->session != call.session) machine->last_call = TimePoint{};
    fleet_.observe(*machine, *answer, now);
    if (answer->token < epoch_) return;
    fleet_.confirm(*machine, now);
    Fleet::hears(*machine);
    // What it would order goes out with the next report; nothing here depends on its arrival.
    std::vector<Order> later_orders;
    reconcile(*machine, *answer, Source::direct_answer, now, later_orders);
}

ReportAnswer Dispatch::report(const Report& report, TimePoint now) {
    if (report.token > epoch_) return {false, epoch_, {}};
    ReportAnswer answer{true, epoch_, {}};
    // A machine whose release was answered is gone; this report was held up on its way.
    if (fleet_.gone(report.machine)) return answer;
    // Guard against held-up reports and copies: an older list must never replace a newer one, nor
    // an address or a type. Its answer orders nothing but the stops of what is cancelled: the report
    // may be one that the answer to a direct call has overtaken.
    if (const auto* known = fleet_.find(report.machine); known && known->has_seen(report)) {
        stop_cancelled(report, answer.orders);
        return answer;
    }
    auto& machine = fleet_.meet(report, now);
    fleet_.observe(machine, report, now);
    // Guard against ran_twice: until the machine has seen this token, a start of the former
    // epoch may still take effect after the list was made.
    if (report.token < epoch_) {
        stop_cancelled(report, answer.orders);
        return answer;
    }
    fleet_.confirm(machine, now);
    fleet_.heed(machine, report, now);
    reconcile(machine, report, Source::report, now, answer.orders);
    if (machine.taken_at) {
        drain(machine, now);
        unbind(machine);
    }
    stop_ready(machine, now, answer.orders);
    start_ready(machine, now, false, answer.orders);
    stop_cancelled(report, answer.orders);
    if (!machine.held.empty()) machine.idle_since = now;
    machine.asked = answer.orders;
    return answer;
}

// Guard against ran_cancelled: an answer renews the lease of the machine, whatever else it says. So
// each answer stops what must not go on, also one to a machine that has not shown this token yet:
// leader after leader renewed it with its first answer, and none came to the second. A stop that
// was ordered before may be lost, and this leader may be gone before it is repeated.
void Dispatch::stop_cancelled(const Report& report, std::vector<Order>& orders) const {
    for (const auto& task : report.tasks) {
        if (task.state == TaskState::exited) continue;
        const auto* job = pipelines_.find(task.job);
        // All open jobs are in memory before the first report is handled: an unknown one is over.
        if (job ? job->final != Final::cancelled : pipelines_.aside(task.job)) continue;
        const bool ordered = std::any_of(orders.begin(), orders.end(), [&](const Order& order) {
            return order.verb == Order::Verb::stop && order.index == task.index &&
                   order.attempt == task.attempt && order.job == task.job &&
                   order.grace <= Seconds{0};
        });
        if (!ordered) orders.push_back(order_for(Order::Verb::stop, task));
    }
}

// Most reports say what the one before said. They change nothing unless an order is on its way or
// an exited task waits for its done-set.
bool Dispatch::nothing_new(const Machine& machine, const Report& report) const {
    const auto settled = [](const auto& entry) {
        return entry.second.placement->stage == Placement::Stage::on;
    };
    const auto present = [](const ReportedTask& task) { return task.state != TaskState::exited; };
    return machine.tasks == report.tasks && machine.tasks.size() == machine.held.size() &&
           std::all_of(machine.held.begin(), machine.held.end(), settled) &&
           std::all_of(machine.tasks.begin(), machine.tasks.end(), present);
}

void Dispatch::reconcile(Machine& machine, const Report& report, Source source, TimePoint now,
                         std::vector<Order>& orders) {
    if (nothing_new(machine, report)) return;
    machine.tasks = report.tasks;
    Seen seen;
    for (const auto& task : report.tasks) take_over_task(machine, task, now, seen, orders);
    std::vector<HeldKey> held;
    for (const auto& [key, task] : machine.held) held.push_back(key);
    settle_absent(machine, held, report, source, seen, now, orders);
    count_strays(machine);
    std::set<std::uint64_t> serials;
    for (const auto& key : held) serials.insert(key.first);
    for (const auto serial : serials) {
        const auto it = pipelines_.all().find(serial);
        if (it != pipelines_.all().end()) pipelines_.forget_if_over(*it->second);
    }
}

void Dispatch::take_over_task(Machine& machine, const ReportedTask& task, TimePoint now, Seen& seen,
                              std::vector<Order>& orders) {
    auto* job = pipelines_.find(task.job);
    const bool exited = task.state == TaskState::exited;
    // Guard: not over, only not understood here; another version may be.
    if (!job && pipelines_.aside(task.job)) return;
    // All open jobs are in memory before the first report is handled, so an unknown one is
    // over, and nothing of it is wanted.
    if (!job || task.index >= job->spec.tasks) {
        // Guard against ran_cancelled: a copy of its start in a direct call may still arrive, half a
        // minute after the cancellation, and would start it had the worker forgotten the attempt.
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
            note_start(*job, now);
        }
    } else {
        adopt(machine, *job, task, now);
    }
    if (task.state != TaskState::fetching) fleet_.note_image(machine, *job);
}

void Dispatch::take_over_exit(Machine& machine, Job& job, const ReportedTask& task, TimePoint now,
                              std::vector<Order>& orders) {
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
void Dispatch::adopt(Machine& machine, Job& job, const ReportedTask& task, TimePoint now) {
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
void Dispatch::settle_absent(Machine& machine, const std::vector<HeldKey>& held,
                             const Report& report, Source source, const Seen& seen, TimePoint now,
                             std::vector<Order>& orders) {
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

void Dispatch::note_start(Job& job, TimePoint now) {
    if (job.started) return;
    const bool gang = job.spec.kind == Kind::gang;
    const Placement* latest = nullptr;
    std::uint32_t running = 0;
    for (const auto& [index, placement] : job.placed) {
        if (placement.stage != Placement::Stage::on || placement.state != TaskState::running)
            continue;
        ++running;
        if (!latest || placement.ordered_at > latest->ordered_at) latest = &placement;
    }
    if (!latest || (gang && running < job.spec.tasks)) return;
    job.started = true;
    // Adopted from a former controller: its start was not seen.
    if (latest->ordered_at == TimePoint{}) return;
    StartStory story;
    story.job = job.spec.id;
    story.job_class = job.spec.job_class;
    story.team = job.spec.team;
    story.tasks = job.spec.tasks;
    story.stopped_others = latest->held_until != TimePoint{};
    story.record = between(job.accepted_at, job.durable_at);
    // A bind that waits for nobody is made anew each cycle; it counts as waiting for room.
    const auto found = story.stopped_others ? latest->bound_at : latest->ordered_at;
    story.room = between(job.durable_at, found);
    story.saves = between(found, latest->ordered_at);
    story.report = between(latest->ordered_at, latest->on_at);
    story.image = between(latest->on_at, now);
    started_.push_back(std::move(story));
}

void Dispatch::count_strays(Machine& machine) const {
    machine.strays = Resources{};
    machine.strangers = false;
    for (const auto& task : machine.tasks) {
        if (task.state == TaskState::exited) continue;
        const auto* job = pipelines_.find(task.job);
        if (!job)
            machine.strangers = true;
        else if (!machine.held.contains({job->serial, task.index}))
            machine.strays += job->spec.need;
    }
    if (!machine.strangers || !machine.type_known) return;
    // What a task of an unknown job takes is not known: all that is left, until it is gone.
    machine.strays = catalog_[machine.type].size;
    for (const auto& [key, task] : machine.held) machine.strays -= task.job->spec.need;
}

void Dispatch::task_exited(Machine& machine, Job& job, const ReportedTask& task, TimePoint now) {
    const bool ours = is_placement(job, machine, task);
    if (task.cause == ExitCause::done) {
        if (ours) {
            const auto& placement = job.placed.at(task.index);
            if (placement.stage == Placement::Stage::on && placement.state == TaskState::running)
                estimates_.ran(job, between(placement.running_from, now));
            pipelines_.drop(job, task.index);
        }
        if (!job.failed_on.empty()) clear_job(job);
        machine.failed_jobs.clear();
        judge(machine);
        fleet_.note_image(machine, job);
        pipelines_.complete(job, task.index, now);
        return;
    }
    if (!ours) return;
    const auto ordered_at = job.placed.at(task.index).ordered_at;
    pipelines_.drop(job, task.index);
    if (task.cause == ExitCause::error) task_failed(machine, job, ordered_at, now);
    if (!job.over()) pipelines_.break_gang(job, task.attempt);
}

// Failures of several jobs speak against the machine, failures everywhere against the job.
void Dispatch::task_failed(Machine& machine, Job& job, TimePoint ordered_at, TimePoint now) {
    ++counts_.errors;
    const bool suspected = job.suspect();
    job.failed_on.insert(machine.name);
    if (job.suspect() && !suspected) weigh(job, of_a_suspect);
    machine.failed_jobs[job.spec.id] = job.suspect() ? of_a_suspect : 1;
    judge(machine);
    // Tasks that were started together fail together, and count as one try.
    if (job.errors > 0 && ordered_at < job.failed_at) return;
    ++job.errors;
    job.failed_at = now;
    const double doublings = std::min(job.errors, pauses_counted) - 1.0;
    job.not_before = later(now, std::min(longest_pause, first_pause * std::pow(2.0, doublings)));
}

// Guard against healthy machines returned for a mistake in a job: its tasks fail wherever they are
// started, and two such jobs were enough to speak against each machine they came by.
void Dispatch::weigh(const Job& job, double weight) {
    for (const auto& name : job.failed_on) {
        auto* other = fleet_.find(name);
        if (!other) continue;
        const auto entry = other->failed_jobs.find(job.spec.id);
        if (entry == other->failed_jobs.end()) continue;
        entry->second = weight;
        judge(*other);
    }
}

// It can be done, so where it failed the machine was at fault.
void Dispatch::clear_job(Job& job) {
    weigh(job, 1);
    job.failed_on.clear();
    job.errors = 0;
}

void Dispatch::judge(Machine& machine) {
    double against = 0;
    for (const auto& [id, weight] : machine.failed_jobs) against += weight;
    machine.failing = against >= against_a_machine;
}

void Dispatch::drain(TimePoint now) {
    for (auto& [name, machine] : fleet_.all()) {
        if (machine.draining()) drain(machine, now);
        if (machine.draining() || machine.deaf_since) unbind(machine);
    }
}

// Guard against a gang held up until it gives itself up: its other tasks waited for one that was
// bound to a machine that no order reached.
void Dispatch::unbind(Machine& machine) {
    std::vector<std::pair<Job*, std::uint32_t>> bound;
    for (const auto& [key, task] : machine.held)
        if (task.placement->stage == Placement::Stage::bound)
            bound.push_back({task.job, key.second});
    for (const auto& [job, index] : bound) {
        // A gang broken for an earlier entry has been unbound as a whole.
        const auto it = job->placed.find(index);
        if (it == job->placed.end()) continue;
        const auto attempt = it->second.attempt;
        pipelines_.drop(*job, index);
        pipelines_.break_gang(*job, attempt);
    }
}

void Dispatch::drain(Machine& machine, TimePoint now) {
    for (const auto& [key, task] : machine.held) {
        auto& job = *task.job;
        auto& placement = *task.placement;
        if (placement.stage == Placement::Stage::bound || placement.stopping) continue;
        const bool saves = job.spec.checkpoint > Seconds{0};
        if (machine.taken_at) {
            const auto left = between(now, *machine.taken_at);
            // What ends before the machine is taken may go on; what cannot save has nothing to
            // lose by trying.
            if (!saves || estimates_.remaining(job, placement, now) < left) continue;
            if (left > job.spec.save_time + config_.workers.report + Seconds{1}) continue;
        }
        Pipelines::stop_to_save(job, placement);
    }
}

void Dispatch::stop_ready(Machine& machine, TimePoint now, std::vector<Order>& orders) const {
    if (!machine.confirmed) return;
    for (const auto& [key, task] : machine.held) {
        auto& placement = *task.placement;
        if (placement.stage != Placement::Stage::on || !placement.stopping) continue;
        // Once told with grace, a task saves on its own; the order is repeated only when the
        // answer that carried it may have been lost.
        const bool lost = between(placement.stop_sent, now) > config_.workers.report * 2;
        if (placement.state == TaskState::saving && placement.grace > Seconds{0}) continue;
        if (placement.stop_sent != TimePoint{} && !lost) continue;
        placement.stop_sent = now;
        orders.push_back(
            {Order::Verb::stop, task.job->spec.id, key.second, placement.attempt, placement.grace});
    }
}

void Dispatch::start_ready(Machine& machine, TimePoint now, bool direct,
                           std::vector<Order>& orders) {
    if (!fleet_.usable(machine, now)) return;
    struct Ready {
        std::uint32_t index;
        HeldTask task;
    };
    std::vector<Ready> ready;
    Resources taken = machine.strays;
    for (const auto& [key, task] : machine.held) {
        if (task.placement->stage == Placement::Stage::bound)
            ready.push_back({key.second, task});
        else
            taken += task.job->spec.need;
    }
    if (ready.empty()) return;
    // The ready list: the shortest-makespan pipeline's task first, ties to the longest RPM.
    std::stable_sort(ready.begin(), ready.end(), [](const Ready& a, const Ready& b) {
        const auto& x = *a.task.placement;
        const auto& y = *b.task.placement;
        if (x.rank != y.rank) return x.rank < y.rank;
        if (x.makespan != y.makespan) return x.makespan < y.makespan;
        return x.rpm > y.rpm;
    });
    const auto& size = catalog_[machine.type].size;
    for (const auto& [index, task] : ready) {
        auto* job = task.job;
        if (!(size - taken).holds(job->spec.need)) break;
        auto& placement = *task.placement;
        taken += job->spec.need;
        placement.stage = Placement::Stage::ordered;
        placement.ordered_session = machine.session;
        placement.in_flight = direct;
        placement.since = placement.ordered_at = now;
        job->waits_since.reset();
        ++counts_.starts;
        orders.push_back({Order::Verb::start, job->spec.id, index, placement.attempt, {}});
    }
}

void Dispatch::released(const std::string& name) {
    auto* machine = fleet_.find(name);
    if (!machine) return;
    counts_.lost += pipelines_.lose(*machine);
    fleet_.remove(name);
}

}  // namespace bendspindle::core
