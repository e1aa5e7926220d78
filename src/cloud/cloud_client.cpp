#include "cloud/cloud_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>

#include "wire/cloud.hpp"

namespace bendspindle::cloud {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds call_limit{4000};
constexpr seconds catalog_every{60};
constexpr seconds catalog_retry{2};
constexpr seconds least_list_every{5};
constexpr milliseconds plan_every{1000};
constexpr unsigned list_page = 500;
// A rental whose answer was lost is repeated under its name this often; a repeat of a granted one
// gets the same machines.
constexpr int rent_tries = 4;

}  // namespace

CloudClient::CloudClient(state::LeaderState& leader_state, const config::Settings& settings,
                         std::function<bool()> may_act)
    : leader_state_(leader_state),
      client_(settings.cloud, call_limit),
      may_act_(std::move(may_act)) {
    // All controllers read the catalog, one does the rest; a tenth is left free.
    spacing_ = duration_cast<Clock::duration>(
        std::chrono::duration<double>(1.1 / settings.cloud_requests_per_s));
    list_every_ = std::max(duration_cast<Clock::duration>(settings.list_lag),
                           duration_cast<Clock::duration>(least_list_every));
}

void CloudClient::pace() {
    std::this_thread::sleep_until(next_call_);
    next_call_ = Clock::now() + spacing_;
}

void CloudClient::read_catalog() {
    pace();
    const auto answer = client_.get(wire::path::catalog);
    auto types = answer && answer->status == 200 ? wire::parse_catalog(answer->body) : std::nullopt;
    if (!types || types->empty()) {
        next_catalog_ = Clock::now() + catalog_retry;
        return;
    }
    next_catalog_ = Clock::now() + catalog_every;
    leader_state_.set_machine_types(std::move(*types));
}

void CloudClient::read_list() {
    std::vector<core::ListedMachine> machines;
    std::string after;
    const auto asked = Clock::now();
    for (;;) {
        pace();
        const auto answer = client_.get(wire::path::list(after, list_page));
        if (!answer || answer->status != 200) return;
        auto list = wire::parse_list(answer->body);
        if (!list) return;
        for (auto& machine : list->machines) machines.push_back(std::move(machine));
        if (!list->more || machines.empty()) break;
        after = machines.back().name;
    }
    auto access = leader_state_.lock();
    if (access.controller()) access.controller()->listed(machines, asked, Clock::now());
}

void CloudClient::rent(const core::ScaleOutRequest& request, std::uint64_t term) {
    for (int i = 0; i < rent_tries; ++i) {
        pace();
        if (!may_act_()) return;
        const auto answer = client_.post(wire::path::machines, wire::rent_body(request));
        std::vector<std::string> names;
        if (answer && answer->status == 200) {
            const auto parsed = wire::parse_rented(answer->body);
            if (!parsed) continue;
            names = *parsed;
        } else if (!answer || answer->status != 503) {
            continue;
        }
        spdlog::info("rent {} {} in {}{}: {} of {}", request.request, request.type, request.zone,
                     request.spot ? " (spot)" : "", names.size(), request.count);
        auto access = leader_state_.lock();
        if (access.controller() && access.controller()->term() == term)
            access.controller()->scaled_out(request, names, Clock::now());
        access.request_write();
        return;
    }
}

void CloudClient::release(const core::ScalingPlan& plan, std::uint64_t term) {
    pace();
    // Guard against machines returned under another controller: one that had stood still for 20 s
    // went on with the plan it had in hand and returned 63 that its successor had work on. What
    // must be gone because it was cancelled goes even so.
    const auto& names = may_act_() ? plan.release : plan.overdue;
    if (names.empty()) return;
    const auto answer = client_.post(wire::path::release, wire::release_body(names));
    if (!answer || answer->status != 200) return;
    spdlog::info("released {} machines, first {}", names.size(), names.front());
    auto access = leader_state_.lock();
    if (!access.controller() || access.controller()->term() != term) return;
    access.controller()->released(names);
    access.request_write();
    access.request_placement();
}

void CloudClient::run() {
    for (;;) {
        if (Clock::now() >= next_catalog_) read_catalog();
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
        // What frees tasks for placing anew goes before what adds room.
        if (!plan.release.empty()) release(plan, term);
        for (const auto& request : plan.scale_out) rent(request, term);
        if (leading && Clock::now() >= next_list_) {
            next_list_ = Clock::now() + list_every_;
            read_list();
        }
        std::this_thread::sleep_for(plan_every);
    }
}

}  // namespace bendspindle::cloud
