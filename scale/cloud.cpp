#include "cloud.hpp"

#include <algorithm>

#include "wire/cloud.hpp"

namespace bendspindle::scale {

namespace {

using wire::Value;

constexpr std::size_t most_a_page = 500;
constexpr std::chrono::seconds dead_runs_for{30};

}  // namespace

Cloud::Cloud(EventLoop& loop, const ScaleSettings& settings, SimulatedAgents& agents,
             SimulatedAgents::Random& random)
    : loop_(loop),
      settings_(settings),
      agents_(agents),
      random_(random),
      listener_(loop, static_cast<std::uint16_t>(settings.cloud_port()),
                [this](const HttpMessage& request, std::uint32_t) { return serve(request); }) {}

std::string Cloud::add(const std::string& zone) {
    auto digits = std::to_string(++numbers_);
    auto name = "n-" + std::string(6 - std::min<std::size_t>(digits.size(), 6), '0') + digits;
    machines_[name] = {zone, "", "starting", Clock::now()};
    ++charged_;
    return name;
}

void Cloud::begin(int count) {
    for (int i = 0; i < count; ++i) {
        const auto& zone = settings_.zones[static_cast<std::size_t>(i) % settings_.zones.size()];
        const auto name = add(zone.name);
        machines_[name].stage = "running";
        agents_.add(name, zone.name);
    }
}

void Cloud::lose(const std::string& name) {
    if (!agents_.remove(name)) return;
    loop_.at(Clock::now() + dead_runs_for, [this, name] {
        const auto it = machines_.find(name);
        if (it == machines_.end()) return;
        it->second.stage = "failed";
        --charged_;
    });
}

std::optional<std::pair<int, std::string>> Cloud::serve(const HttpMessage& request) {
    if (request.target == wire::path::catalog) return std::pair(200, catalog());
    if (request.target == wire::path::release) return std::pair(200, release(request));
    if (request.method == "POST" && request.target == wire::path::machines) return rent(request);
    if (request.target.starts_with(wire::path::machines))
        return std::pair(200, list(request.target));
    return std::pair(404, wire::to_cbor(Value::object()));
}

std::string Cloud::catalog() const {
    Value halls = Value::array();
    for (const auto& zone : settings_.zones) halls.push_back(zone.name);
    const auto& workers = settings_.workers;
    return wire::to_cbor({{"builds",
                           {{{"sku", "m"},
                             {"cores", workers.size.cpus},
                             {"ram_gb", workers.size.memory_gb},
                             {"cache_gb", 1000},
                             {"rate", 1.0},
                             {"spot_price", 0.4},
                             {"fetch_gb_per_s", workers.fetch_gb_per_s},
                             {"startup_s", workers.boot.count()},
                             {"halls", halls}}}}});
}

std::pair<int, std::string> Cloud::rent(const HttpMessage& request) {
    const auto body = wire::parse_cbor(request.body).value_or(Value::object());
    const auto hire = body.value("hire", std::string());
    if (const auto it = answered_.find(hire); it != answered_.end())
        return {200, wire::to_cbor(it->second)};
    Value names = Value::array();
    const auto most = std::min(body.value("number", 0), settings_.workers.count - charged_);
    for (int i = 0; i < most; ++i) {
        const auto zone = body.value("hall", std::string());
        const auto name = add(zone);
        names.push_back(name);
        const auto boot =
            settings_.workers.boot * std::uniform_real_distribution(0.6, 1.5)(random_);
        loop_.at(core::later(Clock::now(), boot), [this, name, zone] {
            const auto it = machines_.find(name);
            if (it == machines_.end()) return;
            it->second.stage = "running";
            agents_.add(name, zone);
        });
    }
    if (names.empty()) return {503, wire::to_cbor({{"error", "no capacity"}})};
    rented_ += names.size();
    answered_[hire] = {{"spindles", names}};
    return {200, wire::to_cbor(answered_[hire])};
}

std::string Cloud::release(const HttpMessage& request) {
    const auto body = wire::parse_cbor(request.body).value_or(Value::object());
    for (const auto& name : body.value("spindles", Value::array())) {
        const auto it = machines_.find(name.get<std::string>());
        if (it == machines_.end()) continue;
        agents_.remove(it->first);
        if (it->second.stage != "failed") --charged_;
        machines_.erase(it);
        ++released_;
    }
    return wire::to_cbor(Value::object());
}

void Cloud::refresh_list() {
    const auto now = Clock::now();
    if (!listed_.empty() && core::later(listed_at_, settings_.services.list_lag) > now) return;
    listed_ = machines_;
    listed_at_ = now;
}

std::string Cloud::list(const std::string& target) {
    refresh_list();
    const auto at = target.find("since=");
    const auto since = at == std::string::npos
                           ? std::string()
                           : target.substr(at + 6, target.find('&', at) - at - 6);
    Value machines = Value::array();
    auto it = listed_.upper_bound(since);
    for (; it != listed_.end() && machines.size() < most_a_page; ++it) {
        const auto& [name, machine] = *it;
        machines.push_back({{"uid", name},
                            {"addr", machine.address},
                            {"build", "m"},
                            {"hall", machine.zone},
                            {"loaners", false},
                            {"stage", machine.stage},
                            {"age_s", core::between(machine.asked, listed_at_).count()}});
    }
    return wire::to_cbor({{"spindles", machines}, {"truncated", it != listed_.end()}});
}

}  // namespace bendspindle::scale
