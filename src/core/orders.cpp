#include "core/orders.hpp"

#include <algorithm>

namespace bendspindle::core {

Order order_for(Order::Verb verb, const ReportedTask& task) {
    return {verb, task.job, task.index, task.attempt, {}};
}

// Guard against ran_cancelled over any sequence of leaders: each answer renews the worker's lease,
// so each orders what must end, also before the machine is confirmed and whatever was ordered
// before. Otherwise a leader that ends after its answer leaves the task running for one more lease.
void Orders::stop_finished_jobs(const Report& report, std::vector<Order>& orders) const {
    for (const auto& task : report.tasks) {
        if (task.state == TaskState::exited || !must_end(task.job)) continue;
        const auto stop = order_for(Order::Verb::stop, task);
        if (std::find(orders.begin(), orders.end(), stop) == orders.end()) orders.push_back(stop);
    }
}

// Guard against cancelled work of a former epoch on a machine that hears and is not heard: it shows
// in the answers to direct calls only, so its stops travel that way, too.
void Orders::stop_strangers(Machine& machine, TimePoint now, std::vector<Order>& orders) const {
    if (!machine.confirmed || !machine.strangers_since) return;
    const bool lost = between(machine.strangers_told, now) > config_.workers.report * 2;
    if (machine.strangers_told != TimePoint{} && !lost) return;
    machine.strangers_told = now;
    for (const auto& task : machine.tasks)
        if (task.state != TaskState::exited && pipelines_.stranger(task.job))
            orders.push_back(order_for(Order::Verb::stop, task));
}

// All open jobs are in memory before the first report is handled, so an unknown one is over.
bool Orders::must_end(const std::string& id) const {
    const auto* job = pipelines_.find(id);
    return job ? job->final == Final::cancelled : pipelines_.stranger(id);
}

std::set<std::string> Orders::jobs_to_end() const {
    std::set<std::string> out;
    for (const auto& [serial, job] : pipelines_.all())
        if (job->final == Final::cancelled && !job->placed.empty()) out.insert(job->spec.id);
    for (const auto& [name, machine] : fleet_.all())
        for (const auto& task : machine.tasks)
            if (task.state != TaskState::exited && must_end(task.job)) out.insert(task.job);
    return out;
}

void Orders::drain(TimePoint now) {
    for (auto& [name, machine] : fleet_.all()) {
        if (machine.draining()) drain(machine, now);
        if (machine.draining() || machine.deaf_since) unbind(machine);
    }
}

// Guard against a gang held up until it gives itself up: its other tasks waited for one that was
// bound to a machine that no order reached.
void Orders::unbind(Machine& machine) {
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

void Orders::drain(Machine& machine, TimePoint now) {
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

void Orders::stop_ready(Machine& machine, TimePoint now, std::vector<Order>& orders) const {
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

void Orders::start_ready(Machine& machine, TimePoint now, bool direct, std::vector<Order>& orders) {
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

}  // namespace bendspindle::core
