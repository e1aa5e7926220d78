#include "core/dispatch.hpp"

namespace bendspindle::core {

Dispatch::Dispatch(const Config& config, const Catalog& catalog, Fleet& fleet, Pipelines& pipelines,
                   Estimates& estimates, std::uint64_t epoch)
    : fleet_(fleet),
      pipelines_(pipelines),
      epoch_(epoch),
      failures_(fleet),
      orders_(config, catalog, fleet, pipelines, estimates, counts_),
      direct_calls_(fleet, pipelines, orders_, epoch),
      reconciliation_(catalog, fleet, pipelines, estimates, failures_, starts_, counts_) {}

void Dispatch::called(const DirectCall& call, CallOutcome outcome, const Report* answer,
                      TimePoint now) {
    auto* machine = fleet_.find(call.machine);
    if (!machine) return;
    machine->call_out = false;
    for (const auto& order : call.orders) {
        if (order.verb == Order::Verb::stop && outcome != CallOutcome::executed)
            direct_calls_.repeat_stop(order);
        if (order.verb == Order::Verb::start)
            direct_calls_.settle_start(*machine, order, call, outcome, answer);
    }
    if (!answer || answer->token > epoch_ || machine->has_seen(*answer)) return;
    // The worker was asked under a wrong session; the right one is tried at once.
    if (answer->session != call.session) machine->last_call = TimePoint{};
    fleet_.observe(*machine, *answer, Fleet::By::call, now);
    if (answer->token < epoch_) return;
    fleet_.confirm(*machine, now);
    Fleet::hears(*machine);
    // What it would order goes out with the next report; nothing here depends on its arrival.
    std::vector<Order> later_orders;
    reconciliation_.reconcile(*machine, *answer, Reconciliation::Source::direct_answer, now,
                              later_orders);
}

ReportAnswer Dispatch::report(const Report& report, TimePoint now) {
    if (report.token > epoch_) return {false, epoch_, {}};
    ReportAnswer answer{true, epoch_, {}};
    // A machine whose release was answered is gone; this report was held up on its way.
    if (fleet_.gone(report.machine)) return answer;
    // Guard against held-up reports and copies: an older list must never replace a newer one, nor
    // an address or a type. Where a direct answer has overtaken a report, its worker still takes
    // this answer as a renewal.
    if (const auto* known = fleet_.find(report.machine); known && known->has_seen(report)) {
        orders_.stop_finished_jobs(report, answer.orders);
        return answer;
    }
    auto& machine = fleet_.meet(report, now);
    fleet_.observe(machine, report, Fleet::By::report, now);
    // Guard against ran_twice: until the machine has seen this token, a start of the former
    // epoch may still take effect after the list was made.
    if (report.token < epoch_) {
        orders_.stop_finished_jobs(report, answer.orders);
        return answer;
    }
    fleet_.confirm(machine, now);
    fleet_.heed(machine, report, now);
    reconciliation_.reconcile(machine, report, Reconciliation::Source::report, now, answer.orders);
    if (machine.taken_at) {
        orders_.drain(machine, now);
        orders_.unbind(machine);
    }
    orders_.stop_ready(machine, now, answer.orders);
    orders_.stop_finished_jobs(report, answer.orders);
    orders_.start_ready(machine, now, false, answer.orders);
    if (!machine.held.empty()) machine.idle_since = now;
    machine.asked = answer.orders;
    return answer;
}

void Dispatch::released(const std::string& name) {
    auto* machine = fleet_.find(name);
    if (!machine) return;
    counts_.lost += pipelines_.lose(*machine);
    fleet_.remove(name);
}

}  // namespace bendspindle::core
