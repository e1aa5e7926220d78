#include "cloud/cloud_client.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "io/guarded_step.hpp"
#include "io/log.hpp"
#include "wire/cloud.hpp"
#include "wire/http_status.hpp"

namespace bendspindle::cloud {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds request_timeout{4000};
constexpr seconds catalog_interval{60};
constexpr seconds catalog_retry_interval{2};
constexpr seconds min_list_interval{5};
constexpr milliseconds plan_interval{1000};
constexpr unsigned list_page_size = 500;
// A request whose response was lost is sent again under the same name, up to this number of
// attempts in total; the cloud answers a repeat of a granted request with the same machines.
constexpr int scale_out_attempts = 4;
// Leaves a tenth of the rate limit free: all controllers read the catalog, while only the leader
// makes the other calls.
constexpr double spacing_factor = 1.1;

void report_malformed(const char* call) {
    io::log_malformed_response("cloud", call);
}

}  // namespace

CloudClient::CloudClient(state::LeaderState& leader_state, const config::Settings& settings,
                         std::function<bool()> lease_valid)
    : leader_state_(leader_state),
      client_(settings.cloud, request_timeout),
      lease_valid_(std::move(lease_valid)) {
    call_spacing_ = duration_cast<Clock::duration>(
        std::chrono::duration<double>(spacing_factor / settings.cloud_requests_per_s));
    list_interval_ = std::max(duration_cast<Clock::duration>(settings.list_lag),
                              duration_cast<Clock::duration>(min_list_interval));
}

void CloudClient::wait_for_rate_limit() {
    std::this_thread::sleep_until(next_call_);
    next_call_ = Clock::now() + call_spacing_;
}

void CloudClient::refresh_catalog() {
    wait_for_rate_limit();
    const auto answer = client_.get(wire::path::catalog);
    const bool answered = answer && answer->status == wire::http_status::ok;
    auto types = answered ? wire::parse_catalog(answer->body) : std::nullopt;
    if (answered && !types) report_malformed("catalog");
    if (!types || types->empty()) {
        next_catalog_ = Clock::now() + catalog_retry_interval;
        return;
    }
    next_catalog_ = Clock::now() + catalog_interval;
    leader_state_.set_machine_types(std::move(*types));
}

void CloudClient::report_listed_machines() {
    std::vector<core::ListedMachine> machines;
    std::string after;
    const auto requested_at = Clock::now();
    for (;;) {
        wait_for_rate_limit();
        const auto answer = client_.get(wire::path::machine_list(after, list_page_size));
        if (!answer || answer->status != wire::http_status::ok) return;
        auto list = wire::parse_machine_list(answer->body);
        if (!list) return report_malformed("machine_list");
        for (auto& machine : list->machines) machines.push_back(std::move(machine));
        if (!list->more || machines.empty()) break;
        after = machines.back().name;
    }
    auto access = leader_state_.lock();
    if (access.controller())
        access.controller()->apply_cloud_list(machines, requested_at, Clock::now());
}

void CloudClient::scale_out(const core::ScaleOutRequest& request, std::uint64_t term) {
    for (int i = 0; i < scale_out_attempts; ++i) {
        wait_for_rate_limit();
        if (!lease_valid_()) return;
        const auto answer = client_.post(wire::path::machines, wire::scale_out_body(request));
        std::vector<std::string> names;
        if (answer && answer->status == wire::http_status::ok) {
            const auto parsed = wire::parse_scale_out_response(answer->body);
            if (!parsed) {
                report_malformed("scale_out");
                continue;
            }
            names = *parsed;
        } else if (!answer || answer->status != wire::http_status::service_unavailable) {
            continue;
        }
        io::log::info("scaled_out", "request", request.request, "type", request.type, "zone",
                      request.zone, "spot", request.spot, "granted", names.size(), "requested",
                      request.count);
        auto access = leader_state_.lock();
        if (access.controller() && access.controller()->term() == term)
            access.controller()->scaled_out(request, names, Clock::now());
        access.request_write();
        return;
    }
}

void CloudClient::scale_in(const core::ScalingPlan& plan, std::uint64_t term) {
    wait_for_rate_limit();
    // A leader that had stalled for 20 s continued with its earlier plan and released 63 machines
    // on which the next leader had tasks (CloudClient.ReleasesNothingWithoutAValidLease). Machines
    // that must be released because tasks on them are cancelled are released without a valid lease,
    // too.
    const auto& names = lease_valid_() ? plan.release : plan.overdue;
    if (names.empty()) return;
    const auto answer = client_.post(wire::path::release, wire::release_body(names));
    if (!answer || answer->status != wire::http_status::ok) return;
    io::log::info("scaled_in", "machines", names.size(), "first", names.front());
    auto access = leader_state_.lock();
    if (!access.controller() || access.controller()->term() != term) return;
    access.controller()->released(names);
    access.request_write();
    access.request_placement();
}

void CloudClient::run() {
    for (;;) {
        io::run_guarded("cloud", [this] { run_once(); });
        std::this_thread::sleep_for(plan_interval);
    }
}

void CloudClient::run_once() {
    if (Clock::now() >= next_catalog_) refresh_catalog();
    core::ScalingPlan plan;
    std::uint64_t term = 0;
    bool leading = false;
    {
        auto access = leader_state_.lock();
        if (access.controller()) {
            leading = true;
            term = access.controller()->term();
            plan = access.controller()->plan_scaling(Clock::now());
        }
    }
    // A release returns the tasks on its machines to placement, so it precedes scaling out.
    if (!plan.release.empty()) scale_in(plan, term);
    for (const auto& request : plan.scale_out) scale_out(request, term);
    if (leading && Clock::now() >= next_list_) {
        next_list_ = Clock::now() + list_interval_;
        report_listed_machines();
    }
}

}  // namespace bendspindle::cloud
