#include "core/direct_calls.hpp"

#include <algorithm>

namespace bendspindle::core {

namespace {

constexpr Seconds ask_again{3};

}  // namespace

std::vector<DirectCall> DirectCalls::due(TimePoint now, bool may_start) {
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
            orders_.stop_ready(machine, now, call.orders);
            orders_.stop_strangers(machine, now, call.orders);
            if (may_start) orders_.start_ready(machine, now, true, call.orders);
            if (call.orders.empty()) continue;
        }
        machine.call_out = true;
        machine.last_call = now;
        out.push_back(std::move(call));
    }
    return out;
}

// A stop whose direct call failed travels with the next answer to a report.
void DirectCalls::repeat_stop(const Order& order) {
    auto* job = pipelines_.find(order.job);
    if (!job) return;
    const auto placed = job->placed.find(order.index);
    if (placed != job->placed.end() && placed->second.attempt == order.attempt)
        placed->second.stop_sent = TimePoint{};
}

void DirectCalls::settle_start(Machine& machine, const Order& order, const DirectCall& call,
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

}  // namespace bendspindle::core
