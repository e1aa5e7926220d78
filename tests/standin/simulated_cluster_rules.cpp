// The protocol's rules, checked at every step and start. A broken one throws, named as in the
// protocol.
#include <algorithm>

#include "standin/message_size.hpp"
#include "standin/simulated_cluster.hpp"
#include "wire/agent_messages.hpp"

namespace bendspindle::standin {

namespace {

using core::Seconds;
using core::TaskState;

// With fewer entries no message reaches the limit.
constexpr std::size_t few_entries = 200;

}  // namespace

void SimulatedCluster::check_size(const core::Heartbeat& heartbeat) const {
    if (heartbeat.tasks.size() > few_entries)
        check_size("heartbeat of " + heartbeat.machine, heartbeat.tasks.size(),
                   wire::heartbeat_body(heartbeat));
}

void SimulatedCluster::check_size(const std::string& machine,
                                  const core::HeartbeatResponse& response) const {
    if (response.commands.size() > few_entries)
        check_size("response to " + machine, response.commands.size(),
                   wire::commands_body(response.fencing_token, response.commands));
}

void SimulatedCluster::check_size(const core::DirectCommand& call) const {
    if (call.commands.size() > few_entries)
        check_size("call of " + call.machine, call.commands.size(),
                   wire::direct_commands_body(call));
}

void SimulatedCluster::check_size(const std::string& message, std::size_t entries,
                                  const std::string& body) const {
    const auto bytes = json_size(body);
    if (bytes > message_limit_bytes)
        fail("message_size: " + message + " with " + std::to_string(entries) + " entries has " +
             std::to_string(bytes) + " bytes");
}

void SimulatedCluster::check_start(const std::string& job, std::uint32_t index,
                                   const SimulatedAgent& on) {
    start_order_.push_back(job + "/" + std::to_string(index) + "@" + on.name);
    for (const auto& [name, other] : agents_)
        if (name != on.name && other.holds(job, index))
            fail("ran_twice: " + job + "/" + std::to_string(index) + " on " + name + " and " +
                 on.name);
    const auto& spec = specs_.at(job);
    if (on.spot && !spec.spot) fail("wrong_place: " + job + " on a spot machine");
    if (spec.zone && *spec.zone != on.zone) fail("wrong_place: " + job + " in zone " + on.zone);
    if (spec.types &&
        std::find(spec.types->begin(), spec.types->end(), on.type) == spec.types->end())
        fail("wrong_place: " + job + " on type " + on.type);
    std::map<std::string, std::uint32_t> zones;
    for (const auto& [name, other] : agents_)
        for (const auto& task : other.tasks)
            if (task.job == job && task.state != TaskState::exited) ++zones[other.zone];
    if (spec.one_zone && zones.size() > 1) fail("wrong_place: " + job + " in two zones");
    if (spec.spread)
        for (const auto& [zone, n] : zones)
            if (n > (spec.tasks + 1) / 2) fail("wrong_place: too much of " + job + " in " + zone);
    if (cancelled_at_.contains(job) && now_ - cancelled_at_[job] > config_.workers.cancel.count())
        fail("ran_cancelled: " + job + " started late");
}

// How many tasks of the job the machine could take now, if all is well with it.
bool SimulatedCluster::has_room(const SimulatedAgent& agent, const core::JobSpec& spec,
                                std::uint32_t& tasks) const {
    const bool well = !agent.hung && !agent.dead && !agent.inbound_unreachable &&
                      !agent.outbound_unreachable && !agent.faulty && agent.reachable &&
                      !agent.spot_notice && !agent.with_former_leader;
    const bool allowed = (!agent.spot || spec.spot) && (!spec.zone || *spec.zone == agent.zone) &&
                         (!spec.types || std::find(spec.types->begin(), spec.types->end(),
                                                   agent.type) != spec.types->end());
    if (!well || !allowed) return false;
    const auto type = std::find_if(types_.begin(), types_.end(),
                                   [&](const auto& t) { return t.name == agent.type; });
    auto free = type->size;
    for (const auto& task : agent.tasks)
        if (task.state != TaskState::exited) free -= specs_.at(task.job).need;
    for (tasks = 0; tasks < spec.tasks && free.holds(spec.need); ++tasks) free -= spec.need;
    return tasks > 0;
}

// None of its tasks is anywhere, and there would be room for one; for a gang's all.
bool SimulatedCluster::waits_beside_room(const core::JobSpec& spec) const {
    if (terminal_states_.contains(spec.id) || !jobs_.contains(spec.id) ||
        always_failing_.contains(spec.id))
        return false;
    core::Resources used;
    for (const auto& [name, agent] : agents_)
        for (const auto& task : agent.tasks) {
            if (task.job == spec.id) return false;
            if (task.state != TaskState::exited && specs_.at(task.job).team == spec.team)
                used += specs_.at(task.job).need;
        }
    const auto wanted = spec.kind == core::Kind::gang ? spec.tasks : 1;
    const auto more = spec.need * static_cast<double>(wanted);
    const auto* team = config_.team(spec.team);
    if (team && team->limit.cpus > 0 && used.cpus + more.cpus > team->limit.cpus) return false;
    if (team && team->limit.gpus > 0 && used.gpus + more.gpus > team->limit.gpus) return false;
    std::map<std::string, std::uint32_t> room;  // by zone; or all together
    for (const auto& [name, agent] : agents_) {
        std::uint32_t tasks = 0;
        if (has_room(agent, spec, tasks)) room[spec.one_zone ? agent.zone : ""] += tasks;
    }
    return std::any_of(room.begin(), room.end(),
                       [&](const auto& entry) { return entry.second >= wanted; });
}

void SimulatedCluster::check_waiting_jobs() {
    if (longest_wait_beside_room_ <= 0) return;
    for (const auto& [id, spec] : specs_) {
        if (!waits_beside_room(spec)) {
            waiting_since_.erase(id);
            continue;
        }
        const auto since = waiting_since_.try_emplace(id, now_).first->second;
        if (now_ - since > longest_wait_beside_room_) fail("waits: " + id + " beside room for it");
    }
}

// Every accepted job is known; what was not cancelled and is not mistaken is done.
void SimulatedCluster::expect_served() const {
    if (!controller_) fail("there is no leader");
    for (const auto& [id, spec] : specs_) {
        const auto terminal_state = terminal_states_.find(id);
        if (terminal_state == terminal_states_.end() && !controller_->status(id))
            fail("forgotten: " + id);
        if (terminal_state == terminal_states_.end() && !always_failing_.contains(id))
            fail("never done: " + id);
        if (terminal_state != terminal_states_.end() && always_failing_.contains(id) &&
            terminal_state->second != core::TerminalState::cancelled)
            fail("called done: " + id);
    }
}

std::string SimulatedCluster::tasks_of_team(const std::string& team) const {
    std::string out;
    for (const auto& [name, agent] : agents_)
        for (const auto& task : agent.tasks)
            if (task.state != TaskState::exited && specs_.at(task.job).team == team)
                out += " " + task.job + "/" + std::to_string(task.index) + "@" + name;
    return out;
}

void SimulatedCluster::check_rules() {
    std::map<std::string, core::Resources> use;
    for (const auto& [name, agent] : agents_)
        for (const auto& task : agent.tasks) {
            if (task.state == TaskState::exited) continue;
            const auto& spec = specs_.at(task.job);
            use[spec.team] += spec.need;
            if (cancelled_at_.contains(task.job) &&
                now_ - cancelled_at_[task.job] > config_.workers.cancel.count())
                fail("ran_cancelled: " + task.job + " is still on " + name);
        }
    for (const auto& team : config_.teams) {
        const auto& used = use[team.name];
        if (team.limit.cpus > 0 && used.cpus > team.limit.cpus + 1e-6)
            fail("quota: cpus:" + tasks_of_team(team.name));
        if (team.limit.gpus > 0 && used.gpus > team.limit.gpus + 1e-6)
            fail("quota: gpus:" + tasks_of_team(team.name));
    }
    for (const auto& [id, terminal_state] : terminal_states_) {
        if (terminal_state != core::TerminalState::done) continue;
        if (specs_.at(id).kind == core::Kind::array && completed_[id].size() < specs_.at(id).tasks)
            fail("not_done: " + id);
        if (completed_[id].empty()) fail("not_done: " + id);
    }
    check_waiting_jobs();
    if (!controller_) return;
    for (const auto& [id, spec] : specs_) {
        const auto status = controller_->status(id);
        const auto recorded =
            terminal_states_.contains(id) ? terminal_states_.at(id) : core::TerminalState::none;
        const auto terminal_state = status ? status->terminal_state : recorded;
        // A follower without the leader reports what the record says.
        if (recorded != core::TerminalState::none) last_reported_[id] = recorded;
        if (last_reported_[id] != core::TerminalState::none && terminal_state != last_reported_[id])
            fail("went_back: " + id);
        if (terminal_state != core::TerminalState::none) last_reported_[id] = terminal_state;
        // A record that nobody has adopted yet answers for itself.
        if (!controller_->knows(id) && !terminal_states_.contains(id) && jobs_.contains(id) &&
            !jobs_.at(id).first.home.empty())
            fail("forgotten: " + id);
    }
}

}  // namespace bendspindle::standin
