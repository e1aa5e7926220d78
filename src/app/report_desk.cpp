#include "app/report_desk.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/users.hpp"
#include "wire/workers.hpp"

namespace bendspindle::app {

namespace {

const char* name_of(core::Order::Verb verb) {
    switch (verb) {
        case core::Order::Verb::start:
            return "start";
        case core::Order::Verb::stop:
            return "stop";
        case core::Order::Verb::forget:
            return "forget";
    }
    return "";
}

void log_answer(const core::Report& report, const core::DispatchCounts& before,
                const core::DispatchCounts& after, const std::vector<core::Order>& orders) {
    if (after.lost != before.lost || after.errors != before.errors)
        spdlog::debug("{}: lost {}, errors {}", report.machine, after.lost - before.lost,
                      after.errors - before.errors);
    for (const auto& order : orders)
        spdlog::debug("{}: {} {}/{} try {}", report.machine, name_of(order.verb), order.job,
                      order.index, order.attempt);
}

}  // namespace

ReportDesk::ReportDesk(const core::WorkerTimes& workers, Office& office, Role& role, Peers& peers,
                       CancellationReplication& replication, ClockFunction clock)
    : office_(office),
      role_(role),
      peers_(peers),
      replication_(replication),
      clock_(std::move(clock)),
      visits_(workers.report),
      reach_(workers.report) {}

void ReportDesk::took_over() {
    const std::lock_guard lock(mutex_);
    reach_.begin(clock_());
}

bool ReportDesk::unreached() {
    const std::lock_guard lock(mutex_);
    if (!reach_.lost(clock_())) return false;
    reach_.begin(clock_());
    return true;
}

Reply ReportDesk::report(const std::string& body, From from) {
    const auto report = wire::parse_report(body);
    if (!report) return {400, 0, wire::error_body("malformed report")};
    const auto standing = role_.standing();
    if (!standing.acting) {
        if (from == From::sibling) return busy("another controller acts");
        return at_follower(*report, body, standing);
    }
    // Guard: a worker that knows a newer token would drop the answer and stay with this node
    // until its lease is gone.
    if (report->token > standing.epoch) {
        role_.suspect(report->token);
        return busy("another controller acts");
    }
    {
        const std::lock_guard lock(mutex_);
        reach_.heard(report->machine, from == From::sibling, clock_());
    }
    return at_leader(*report, standing.epoch);
}

Reply ReportDesk::at_leader(const core::Report& report, std::uint64_t epoch) {
    const std::lock_guard lock(office_.mutex);
    if (!replication_.may_renew()) return busy("another controller may act");
    // Guard against ran_cancelled: before the records are loaded this controller knows no more than
    // a follower, and renews no more than one. Each of several leaders that follow each other
    // quickly used to give every machine another lease, and none of them a stop.
    if (!office_.controller) return renew_unheard(report, epoch);
    const auto before = office_.controller->counts();
    const auto answer = office_.controller->report(report, clock_());
    if (!answer.entitled) return busy("another controller acts");
    log_answer(report, before, office_.controller->counts(), answer.orders);
    office_.want_write();
    const bool changed = std::any_of(report.tasks.begin(), report.tasks.end(), [](const auto& t) {
        return t.state == core::TaskState::exited;
    });
    if (changed) office_.want_place();
    return {200, 0, wire::orders_body(answer.token, answer.orders)};
}

Reply ReportDesk::at_follower(const core::Report& report, const std::string& body,
                              const Standing& standing) {
    if (report.token > standing.epoch) role_.suspect(report.token);
    if (standing.steward.empty() || report.token > standing.epoch)
        return {503, 0, wire::error_body("no view")};
    const bool knows_steward = report.token == standing.epoch;
    bool there = false;
    {
        const std::lock_guard lock(mutex_);
        there = visits_.send_there(report.machine, knows_steward, clock_());
    }
    if (there) return {421, 0, wire::redirect_body(standing.steward)};
    // The worker cannot reach the leader: its report is handed on.
    if (auto reply = hand_to_leader(wire::peer::Op::report, report.machine, body, role_, peers_);
        reply && reply->status == 200)
        return *reply;
    return renew_unheard(report, standing.epoch);
}

// The token is still the last one known, so the worker may go on; whoever acts next confirms it.
// Guard against ran_cancelled: with nobody who acts such answers kept tasks alive, for as long as
// an outage lasted, whose users had been told that they are cancelled.
Reply ReportDesk::renew_unheard(const core::Report& report, std::uint64_t epoch) {
    const auto stops = replication_.renew_unheard(report);
    if (!stops) return busy("nobody is known to act");
    for (const auto& order : *stops)
        spdlog::info("{}: stop {}/{}, cancelled, with nobody at hand who acts", report.machine,
                     order.job, order.index);
    return {200, 0, wire::orders_body(epoch, *stops)};
}

}  // namespace bendspindle::app
