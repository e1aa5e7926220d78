#include "app/cloud_desk.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>

#include "wire/cloud.hpp"

namespace bendspindle::app {

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

CloudDesk::CloudDesk(Office& office, const Settings& settings, std::function<bool()> may_act)
    : office_(office), client_(settings.cloud, call_limit), may_act_(std::move(may_act)) {
    // All controllers read the catalog, one does the rest; a tenth is left free.
    spacing_ = duration_cast<Clock::duration>(
        std::chrono::duration<double>(1.1 / settings.cloud_requests_per_s));
    list_every_ = std::max(duration_cast<Clock::duration>(settings.list_lag),
                           duration_cast<Clock::duration>(least_list_every));
}

void CloudDesk::pace() {
    std::this_thread::sleep_until(next_call_);
    next_call_ = Clock::now() + spacing_;
}

void CloudDesk::read_catalog() {
    pace();
    const auto answer = client_.get(wire::path::catalog);
    auto types = answer && answer->status == 200 ? wire::parse_catalog(answer->body) : std::nullopt;
    if (!types || types->empty()) {
        next_catalog_ = Clock::now() + catalog_retry;
        return;
    }
    next_catalog_ = Clock::now() + catalog_every;
    office_.learn_types(std::move(*types));
}

void CloudDesk::read_list() {
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
    const std::lock_guard lock(office_.mutex);
    if (office_.controller) office_.controller->listed(machines, asked, Clock::now());
}

void CloudDesk::rent(const core::RentRequest& request, std::uint64_t epoch) {
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
        const std::lock_guard lock(office_.mutex);
        if (office_.controller && office_.controller->epoch() == epoch)
            office_.controller->rented(request, names, Clock::now());
        office_.want_write();
        return;
    }
}

void CloudDesk::release(const core::RentPlan& plan, std::uint64_t epoch) {
    pace();
    // Guard against machines returned under another controller: one that had stood still for 20 s
    // went on with the plan it had in hand and returned 63 that its successor had work on. What
    // must be gone because it was cancelled goes even so.
    const auto& names = may_act_() ? plan.release : plan.overdue;
    if (names.empty()) return;
    const auto answer = client_.post(wire::path::release, wire::release_body(names));
    if (!answer || answer->status != 200) return;
    spdlog::info("released {} machines, first {}", names.size(), names.front());
    const std::lock_guard lock(office_.mutex);
    if (!office_.controller || office_.controller->epoch() != epoch) return;
    office_.controller->released(names);
    office_.want_write();
    office_.want_place();
}

void CloudDesk::run() {
    for (;;) {
        if (Clock::now() >= next_catalog_) read_catalog();
        core::RentPlan plan;
        std::uint64_t epoch = 0;
        bool acting = false;
        {
            const std::lock_guard lock(office_.mutex);
            if (office_.controller) {
                acting = true;
                epoch = office_.controller->epoch();
                plan = office_.controller->plan_renting(Clock::now());
            }
        }
        // What frees tasks for placing anew goes before what adds room.
        if (!plan.release.empty()) release(plan, epoch);
        for (const auto& request : plan.rent) rent(request, epoch);
        if (acting && Clock::now() >= next_list_) {
            next_list_ = Clock::now() + list_every_;
            read_list();
        }
        std::this_thread::sleep_for(plan_every);
    }
}

}  // namespace bendspindle::app
