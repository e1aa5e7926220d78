#include "simulated_agents.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>

#include "wire/agent_messages.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::scale {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds answer_limit{4000};
constexpr milliseconds try_again{1000};
constexpr milliseconds between_changes{500};
constexpr std::uint32_t first_address = (127U << 24) + (1U << 16);
constexpr std::uint32_t addresses_a_net = 250;

std::uint32_t host_of(int number) {
    const auto n = static_cast<std::uint32_t>(number);
    return first_address + (n / addresses_a_net) * 256 + n % addresses_a_net + 1;
}

}  // namespace

struct SimulatedAgents::Member {
    Member(MachineIdentity identity, core::AgentTimings times, TaskOracle& oracle, EventLoop& loop,
           std::uint32_t host, TimePoint now)
        : address(host), client(loop, host), worker(std::move(identity), times, oracle, now) {}

    std::uint32_t address;
    HttpClient client;
    SimulatedAgent worker;
    std::string rack;
    std::string region;
    std::size_t controller = 0;
    bool in_flight = false;
    TimePoint last_sent{};
    TimePoint next_heartbeat{};
    TimePoint not_before{};
    TimePoint armed = TimePoint::max();
    TimePoint hung_until{};
    TimePoint cut_until{};
    std::uint64_t agent_epoch_seen = 1;
};

SimulatedAgents::SimulatedAgents(EventLoop& loop, const ScaleSettings& settings, TaskOracle& oracle,
                                 Random& random)
    : loop_(loop), settings_(settings), oracle_(oracle), random_(random) {
    renewals_by_.resize(static_cast<std::size_t>(settings.controllers.count));
    listener_ = std::make_unique<HttpListener>(
        loop, static_cast<std::uint16_t>(settings.worker_port()),
        [this](const HttpMessage& request, std::uint32_t to) { return serve(request, to); });
}

SimulatedAgents::~SimulatedAgents() = default;

std::string SimulatedAgents::address(int number, int port) {
    const in_addr host{htonl(host_of(number))};
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &host, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(port);
}

Seconds SimulatedAgents::between(double least, double most) {
    return Seconds(std::uniform_real_distribution(least, most)(random_));
}

void SimulatedAgents::add(const std::string& name, const std::string& zone) {
    const auto now = Clock::now();
    const auto number = numbers_++;
    MachineIdentity identity{name,
                             address(number, settings_.worker_port()),
                             "m",
                             zone,
                             settings_.workers.size,
                             settings_.workers.fetch_gb_per_s};
    auto member = std::make_unique<Member>(std::move(identity), settings_.workers.times, oracle_,
                                           loop_, host_of(number), now);
    member->rack = zone + "/" + std::to_string(in_zone_[zone]++ / settings_.rack_size);
    for (const auto& entry : settings_.zones)
        if (entry.name == zone) member->region = entry.region;
    member->controller = static_cast<std::size_t>(number % settings_.controllers.count);
    member->next_heartbeat =
        core::later(now, between(0, settings_.workers.times.heartbeat.count()));
    member->not_before = member->next_heartbeat;
    by_address_[member->address] = member.get();
    auto& placed = *(by_name_[name] = std::move(member));
    placed.worker.on_change([this, &placed] { arm(placed, Clock::now()); });
    arm(placed, placed.next_heartbeat);
}

// Its timers and its client may be under way in the caller; it is kept until the end of the run.
bool SimulatedAgents::remove(const std::string& name) {
    const auto it = by_name_.find(name);
    if (it == by_name_.end()) return false;
    auto& member = *it->second;
    member.worker.on_change(nullptr);
    member.worker.die(Clock::now());
    member.client.close();
    member.armed = TimePoint::min();
    by_address_.erase(member.address);
    gone_.push_back(std::move(it->second));
    by_name_.erase(it);
    return true;
}

std::vector<std::string> SimulatedAgents::at(const std::string& place) const {
    std::vector<std::string> out;
    for (const auto& [name, member] : by_name_)
        if (member->rack == place || member->region == place ||
            member->worker.identity().zone == place)
            out.push_back(name);
    return out;
}

void SimulatedAgents::cut(const std::string& name, Seconds time) {
    if (const auto it = by_name_.find(name); it != by_name_.end())
        it->second->cut_until = core::later(Clock::now(), time);
}

void SimulatedAgents::hang(const std::string& name, Seconds time) {
    if (const auto it = by_name_.find(name); it != by_name_.end())
        it->second->hung_until = core::later(Clock::now(), time);
}

void SimulatedAgents::restart(const std::string& name, Seconds time) {
    const auto it = by_name_.find(name);
    if (it == by_name_.end()) return;
    it->second->worker.restart(Clock::now());
    it->second->agent_epoch_seen = it->second->worker.agent_epoch();
    hang(name, time);
}

bool SimulatedAgents::unreachable(const Member& member, TimePoint now) {
    return member.hung_until > now || member.cut_until > now;
}

void SimulatedAgents::arm(Member& member, TimePoint when) {
    if (when >= member.armed) return;
    member.armed = when;
    loop_.at(when, [this, &member, when] {
        if (member.armed != when) return;
        member.armed = TimePoint::max();
        tick(member);
    });
}

void SimulatedAgents::tick(Member& member) {
    const auto now = Clock::now();
    if (member.hung_until > now) return arm(member, member.hung_until);
    auto& worker = member.worker;
    worker.advance(now);
    if (worker.agent_epoch() != member.agent_epoch_seen) {
        member.agent_epoch_seen = worker.agent_epoch();
        ++counts_.leases_lost;
    }
    if (!member.in_flight) {
        auto due = member.next_heartbeat;
        if (worker.changed()) due = std::min(due, member.last_sent + between_changes);
        due = std::max(due, member.not_before);
        if (due <= now)
            send_heartbeat(member, now);
        else
            arm(member, due);
    }
    arm(member, std::max(worker.next_due(), now + milliseconds(1)));
}

void SimulatedAgents::send_heartbeat(Member& member, TimePoint now) {
    const auto& report_s = settings_.workers.times.heartbeat;
    member.in_flight = true;
    member.last_sent = now;
    member.next_heartbeat =
        core::later(now, between(report_s.count() * 0.75, report_s.count() * 1.25));
    member.worker.heartbeat_sent();
    ++counts_.heartbeats;
    const auto agent_epoch = member.worker.agent_epoch();
    if (member.cut_until > now) {
        loop_.at(now + answer_limit, [this, &member, now, agent_epoch] {
            answered(member, now, agent_epoch, std::nullopt);
        });
        return;
    }
    const auto port = settings_.user_port(static_cast<int>(member.controller));
    const auto body = wire::heartbeat_body(member.worker.heartbeat());
    member.client.send(static_cast<std::uint16_t>(port),
                       request_text("POST", wire::path::heartbeat, body), answer_limit,
                       [this, &member, now, agent_epoch](std::optional<HttpMessage> answer) {
                           answered(member, now, agent_epoch, std::move(answer));
                       });
}

void SimulatedAgents::answered(Member& member, TimePoint sent, std::uint64_t agent_epoch,
                               std::optional<HttpMessage> answer) {
    const auto now = Clock::now();
    member.in_flight = false;
    // What reaches a machine that hangs is too old when it goes on.
    if (unreachable(member, now)) answer.reset();
    if (answer && answer->status == 200) {
        accepted(member, sent, agent_epoch, *answer);
    } else if (answer && answer->status == 421) {
        ++counts_.redirected;
        const auto body = wire::parse_cbor(answer->body);
        const auto named =
            body && body->is_object() ? body->value("foreman", std::string()) : std::string();
        redirected(member, named, now);
    } else {
        ++counts_.failed;
        try_next(member, now);
    }
    arm(member, now);
}

void SimulatedAgents::redirected(Member& member, const std::string& named, TimePoint now) {
    for (int i = 0; i < settings_.controllers.count; ++i) {
        const auto to = static_cast<std::size_t>(i);
        if (named != controller_name(i) || to == member.controller) continue;
        member.client.close();
        member.controller = to;
        member.next_heartbeat = member.not_before = core::later(now, between(0, 0.5));
        return;
    }
    try_next(member, now);
}

void SimulatedAgents::try_next(Member& member, TimePoint now) {
    member.client.close();
    member.controller =
        (member.controller + 1) % static_cast<std::size_t>(settings_.controllers.count);
    member.next_heartbeat = member.not_before = now + try_again;
}

void SimulatedAgents::accepted(Member& member, TimePoint sent, std::uint64_t agent_epoch,
                               const HttpMessage& answer) {
    const auto now = Clock::now();
    member.worker.advance(now);
    latencies_.push_back(core::between(sent, now).count());
    const auto commands = parse_commands(answer.body);
    if (commands && member.worker.answered(sent, agent_epoch, *commands, now)) {
        ++counts_.renewals;
        ++renewals_by_[member.controller];
    } else {
        ++counts_.dropped;
    }
}

std::optional<std::pair<int, std::string>> SimulatedAgents::serve(const HttpMessage& request,
                                                                  std::uint32_t address) {
    const auto it = by_address_.find(address);
    const auto now = Clock::now();
    if (it == by_address_.end() || unreachable(*it->second, now)) return std::nullopt;
    auto& member = *it->second;
    ++counts_.direct;
    member.worker.advance(now);
    int status = 200;
    if (request.target == wire::path::direct_commands) {
        const auto commands = parse_commands(request.body);
        status = commands ? member.worker.direct(*commands, now) : 400;
    } else if (request.target != wire::path::inspect) {
        status = 404;
    }
    arm(member, now);
    return std::pair(status, wire::heartbeat_body(member.worker.heartbeat()));
}

SimulatedAgentCounts SimulatedAgents::counts() const {
    auto out = counts_;
    const auto add = [&](const auto& member) {
        out.bytes_out += member->client.traffic().bytes_out;
        out.bytes_in += member->client.traffic().bytes_in;
    };
    for (const auto& [name, member] : by_name_) add(member);
    for (const auto& member : gone_) add(member);
    return out;
}

}  // namespace bendspindle::scale
