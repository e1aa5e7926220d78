#include "measure.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace bendspindle::scale {

namespace {

using nlohmann::json;

double rounded(double value) {
    constexpr double digits = 1e4;
    return std::round(value * digits) / digits;
}

json as_json(const Quantiles& q) {
    return {{"count", q.count},
            {"p50_s", rounded(q.p50)},
            {"p99_s", rounded(q.p99)},
            {"max_s", rounded(q.most)}};
}

double rate(std::uint64_t now, std::uint64_t before, double seconds) {
    return rounded(static_cast<double>(now - before) / seconds);
}

void append(std::vector<double>& to, const std::vector<double>& more) {
    to.insert(to.end(), more.begin(), more.end());
}

}  // namespace

Quantiles quantiles(std::vector<double> values) {
    Quantiles out;
    out.count = values.size();
    if (values.empty()) return out;
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        const auto rank = std::ceil(share * static_cast<double>(values.size()));
        return values[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
    };
    out.p50 = at(0.5);
    out.p99 = at(0.99);
    out.most = values.back();
    return out;
}

Measure::Measure(Measured measured, TimePoint now)
    : measured_(measured), begun_(now), last_at_(now), first_(snapshot()), last_(first_) {}

Measure::Snapshot Measure::snapshot() {
    Snapshot out{measured_.agents.counts(),
                 measured_.users.counts(),
                 measured_.oracle.counts(),
                 measured_.users.traffic().bytes_in,
                 measured_.users.traffic().bytes_out,
                 measured_.agents.renewals_by(),
                 {},
                 {}};
    for (int i = 0; i < measured_.controllers.count(); ++i) {
        out.state.push_back(measured_.state.counts(static_cast<std::size_t>(i)));
        out.cpu_s.push_back(measured_.controllers.use(i).cpu_s);
    }
    return out;
}

void Measure::begin(TimePoint now) {
    begun_ = last_at_ = now;
    first_ = last_ = snapshot();
    measured_.agents.take_latencies();
    measured_.users.take_latencies();
    measured_.oracle.take_urgent_waits();
}

json Measure::controllers(const Snapshot& now, double seconds) {
    json out = json::array();
    for (int i = 0; i < measured_.controllers.count(); ++i) {
        const auto n = static_cast<std::size_t>(i);
        const auto use = measured_.controllers.use(i);
        const auto& state = now.state[n];
        const auto& before = last_.state[n];
        out.push_back({{"cpu_share", rounded((now.cpu_s[n] - last_.cpu_s[n]) / seconds)},
                       {"rss_mb", rounded(use.rss_mb)},
                       {"peak_rss_mb", rounded(use.peak_rss_mb)},
                       {"threads", use.threads},
                       {"reports_per_s", rate(now.renewals[n], last_.renewals[n], seconds)},
                       {"state_requests_per_s", rate(state.requests, before.requests, seconds)},
                       {"state_writes_per_s", rate(state.writes, before.writes, seconds)},
                       {"state_refused_per_s", rate(state.refused, before.refused, seconds)},
                       {"state_bytes_per_s", rate(state.bytes_in + state.bytes_out,
                                                  before.bytes_in + before.bytes_out, seconds)}});
    }
    return out;
}

void Measure::window(int leader, TimePoint at) {
    const auto now = snapshot();
    const auto seconds = core::between(last_at_, at).count();
    const auto heartbeats = measured_.agents.take_latencies();
    const auto submissions = measured_.users.take_latencies();
    const auto urgent = measured_.oracle.take_urgent_waits();
    const auto& agents = now.agents;
    windows_.push_back(
        {{"from_s", rounded(core::between(begun_, last_at_).count())},
         {"seconds", rounded(seconds)},
         {"leader", leader},
         {"workers", measured_.agents.up()},
         {"running", measured_.oracle.running()},
         {"open_jobs", measured_.users.open()},
         {"open_tasks", measured_.users.tasks_open()},
         {"starts_per_s", rate(now.oracle.starts, last_.oracle.starts, seconds)},
         {"jobs_per_s", rate(now.users.accepted, last_.users.accepted, seconds)},
         {"reports_per_s", rate(agents.heartbeats, last_.agents.heartbeats, seconds)},
         {"direct_calls_per_s", rate(agents.direct, last_.agents.direct, seconds)},
         {"reports_failed_per_s", rate(agents.failed, last_.agents.failed, seconds)},
         {"report_bytes_per_s", rate(agents.bytes_in + agents.bytes_out,
                                     last_.agents.bytes_in + last_.agents.bytes_out, seconds)},
         {"user_requests_per_s", rate(now.users.requests, last_.users.requests, seconds)},
         {"user_errors_per_s", rate(now.users.errors, last_.users.errors, seconds)},
         {"user_bytes_per_s", rate(now.user_bytes_in + now.user_bytes_out,
                                   last_.user_bytes_in + last_.user_bytes_out, seconds)},
         {"report_latency", as_json(quantiles(heartbeats))},
         {"urgent_wait", as_json(quantiles(urgent))},
         {"controllers", controllers(now, seconds)}});
    append(heartbeats_, heartbeats);
    append(submissions_, submissions);
    append(urgent_, urgent);
    last_ = now;
    last_at_ = at;
}

json Measure::totals() const {
    const auto seconds = core::between(begun_, last_at_).count();
    const auto& agents = last_.agents;
    const auto [keys, key_bytes] = measured_.state.size();
    return {{"seconds", rounded(seconds)},
            {"starts", last_.oracle.starts - first_.oracle.starts},
            {"starts_per_s", rate(last_.oracle.starts, first_.oracle.starts, seconds)},
            {"tasks_done", last_.oracle.done - first_.oracle.done},
            {"jobs_submitted", last_.users.submitted - first_.users.submitted},
            {"jobs_accepted", last_.users.accepted - first_.users.accepted},
            {"jobs_refused", last_.users.refused},
            {"jobs_given_up", last_.users.given_up},
            {"jobs_over", last_.users.over - first_.users.over},
            {"user_errors", last_.users.errors - first_.users.errors},
            {"reports", agents.heartbeats - first_.agents.heartbeats},
            {"reports_redirected", agents.redirected - first_.agents.redirected},
            {"reports_failed", agents.failed - first_.agents.failed},
            {"reports_dropped", agents.dropped - first_.agents.dropped},
            {"leases_lost", agents.leases_lost - first_.agents.leases_lost},
            {"state_keys", keys},
            {"state_value_bytes", key_bytes}};
}

json Measure::results() const {
    const auto& rules = last_.oracle;
    return {{"totals", totals()},
            {"report_latency", as_json(quantiles(heartbeats_))},
            {"submission_latency", as_json(quantiles(submissions_))},
            {"urgent_wait", as_json(quantiles(urgent_))},
            {"rules",
             {{"checks", rules.checks},
              {"broken",
               {{"ran_twice", rules.ran_twice},
                {"quota", rules.quota},
                {"ran_cancelled", rules.ran_cancelled},
                {"forgotten", last_.users.forgotten},
                {"not_done", last_.users.not_done},
                {"went_back", last_.users.went_back}}}}},
            {"windows", windows_}};
}

namespace {

void cell(std::ostream& out, int width, int digits, const json& value) {
    out << std::right << std::fixed << std::setprecision(digits) << std::setw(width)
        << value.get<double>();
}

void table_of_windows(const json& windows, std::ostream& out) {
    out << "\n from_s leader workers running open_jobs starts/s reports/s"
           " leader's_cpu rss_MB state_req/s writes/s\n";
    for (const auto& window : windows) {
        const auto& leader = window["controllers"][window["leader"].get<std::size_t>()];
        cell(out, 7, 1, window["from_s"]);
        cell(out, 7, 0, window["leader"]);
        cell(out, 8, 0, window["workers"]);
        cell(out, 8, 0, window["running"]);
        cell(out, 10, 0, window["open_jobs"]);
        cell(out, 9, 1, window["starts_per_s"]);
        cell(out, 10, 1, window["reports_per_s"]);
        cell(out, 13, 3, leader["cpu_share"]);
        cell(out, 7, 1, leader["rss_mb"]);
        cell(out, 12, 1, leader["state_requests_per_s"]);
        cell(out, 9, 1, leader["state_writes_per_s"]);
        out << "\n";
    }
}

}  // namespace

std::string table(const json& results) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    for (const auto* part : {"totals", "report_latency", "submission_latency", "urgent_wait"})
        for (const auto& [name, value] : results[part].items())
            out << std::left << std::setw(22) << part << std::setw(22) << name << value << "\n";
    for (const auto& [rule, count] : results["rules"]["broken"].items())
        out << std::setw(22) << "rule broken" << std::setw(22) << rule << count << "\n";
    table_of_windows(results["windows"], out);
    return out.str();
}

}  // namespace bendspindle::scale
