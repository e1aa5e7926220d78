// Time, agents, cloud and clients of the simulated cluster.
#include "standin/simulated_cluster.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "core/model/fencing_token.hpp"

namespace bendspindle::standin {

namespace {

using core::Seconds;
using core::TaskState;

constexpr double response_delay_s = 3;
// One in so many answered heartbeats arrives again.
constexpr unsigned heartbeats_per_repeat = 4;

}  // namespace

SimulatedCluster::SimulatedCluster() {
    config_.name = "c0";
    config_.zones = {"a", "b"};
    config_.workers = {Seconds(2), Seconds(10), Seconds(30), Seconds(4), Seconds(30)};
    config_.least_paid = Seconds(1);
}

core::TimePoint SimulatedCluster::at() const {
    return core::later(core::TimePoint{}, Seconds(now_));
}

void SimulatedCluster::fail(const std::string& why) const {
    throw std::runtime_error("at " + std::to_string(now_ - 100) + " s: " + why);
}

void SimulatedCluster::record_decision(const std::string& decision) const {
    if (on_decision_)
        on_decision_(std::to_string(std::lround((now_ - 100) * 1000)) + " " + decision);
}

void SimulatedCluster::record_commands(const std::string& machine,
                                       const std::vector<core::TaskCommand>& commands) const {
    if (!on_decision_) return;
    for (const auto& command : commands) {
        std::ostringstream text;
        text << machine << " verb " << static_cast<int>(command.verb) << " " << command.job << "/"
             << command.index << " try " << command.attempt << " grace " << command.grace.count();
        record_decision(text.str());
    }
}

void SimulatedCluster::start_new_leader() {
    controller_ = std::make_unique<core::Controller>(config_, ++term_);
    if (catalog_) controller_->set_types(types_);
    for (const auto& [name, record] : records_) {
        if (unreadable_records_.contains(name))
            controller_->load_unreadable_machine(name, record.second, at());
        else
            controller_->load_machine(record.first, record.second, at());
    }
    for (const auto& [id, record] : jobs_) controller_->load_job(record.first, record.second, at());
}

// The leader does nothing while its clocks and everybody else go on; then it goes on where it was.
void SimulatedCluster::pause_leader(double seconds) {
    auto still = std::move(controller_);
    const double until = now_ + seconds;
    while (now_ < until - 1e-9) step();
    controller_ = std::move(still);
}

void SimulatedCluster::retry_requests() {
    if (!clients_retry_ || !controller_) return;
    const auto recorded = [&](const std::string& id) {
        return jobs_.contains(id) || terminal_states_.contains(id);
    };
    std::erase_if(submitting_, recorded);
    for (const auto& id : submitting_)
        if (!controller_->knows(id))
            controller_->accept(specs_.at(id), core::WallTime{} + std::chrono::seconds(1), at());
    std::erase_if(cancelling_, [&](const auto& id) { return terminal_states_.contains(id); });
    for (const auto& id : cancelling_)
        if (controller_->durable(id)) controller_->cancel(id, at());
}

void SimulatedCluster::deliver(SimulatedAgent& agent, const core::Heartbeat& heartbeat,
                               bool answered) {
    auto* to = agent.with_former_leader ? former_leader_.get() : controller_.get();
    if (!to) return;
    check_size(heartbeat);
    const auto answer = to->heartbeat(heartbeat, at());
    if (answered && repeat_heartbeats_)
        repeated_heartbeats_.add_one_in(heartbeats_per_repeat, {agent, heartbeat}, now_);
    check_size(agent.name, answer);
    record_commands(agent.name, answer.commands);
    if (!answered || !answer.leader_is_current || agent.inbound_unreachable) return;
    if (agent.response_delayed) {
        agent.response_delayed = false;
        agent.awaits_response_until = now_ + 3.25;
        delayed_responses_.push_back({now_ + 3, agent.name, heartbeat.agent_epoch, answer});
        return;
    }
    if (answer.fencing_token < agent.fencing_token) return;
    if (heartbeat.agent_epoch != agent.agent_epoch) return;
    // A higher fencing token is a change, and changes are reported soon.
    if (answer.fencing_token > agent.fencing_token) agent.next_heartbeat = now_ + 0.5;
    agent.fencing_token = answer.fencing_token;
    agent.last_response = now_;
    execute_commands(agent, answer.commands);
}

// The agent drops a direct command under a lower fencing token or for another agent epoch.
void SimulatedCluster::deliver_command(const core::DirectCommand& command, bool answered) {
    const auto it = agents_.find(command.machine);
    if (it == agents_.end() || it->second.dead) return;
    auto& agent = it->second;
    auto outcome = core::CommandOutcome::rejected;
    if (command.fencing_token >= agent.fencing_token && command.agent_epoch == agent.agent_epoch) {
        agent.fencing_token = command.fencing_token;
        execute_commands(agent, command.commands);
        outcome = core::CommandOutcome::executed;
    }
    if (!answered) return;
    repeated_commands_.add(command, now_);
    const auto heartbeat = agent.heartbeat();
    check_size(heartbeat);
    if (agent.command_response_delayed) {
        agent.command_response_delayed = false;
        delayed_command_responses_.push_back({now_ + response_delay_s, command, heartbeat});
        return;
    }
    for (auto* from : {controller_.get(), former_leader_.get()})
        if (from && from->term() == core::term_of(command.fencing_token))
            from->complete_direct_call(command, outcome, &heartbeat, at());
}

// An answer proves that a message arrived, not that it arrives once. Nobody waits for the answer to
// a copy.
void SimulatedCluster::deliver_repeated_messages() {
    for (const auto& command : repeated_commands_.due(now_))
        if (reaches(command)) deliver_command(command, false);
    for (auto& copy : repeated_heartbeats_.due(now_)) deliver(copy.agent, copy.heartbeat, false);
}

bool SimulatedCluster::reaches(const core::DirectCommand& command) const {
    const auto agent = agents_.find(command.machine);
    return agent != agents_.end() && agent->second.reachable &&
           !agent->second.inbound_unreachable && !agent->second.hung && !agent->second.dead;
}

void SimulatedCluster::deliver_command_responses() {
    const auto due =
        std::stable_partition(delayed_command_responses_.begin(), delayed_command_responses_.end(),
                              [&](const auto& late) { return late.at > now_; });
    const std::vector<DelayedCommandResponse> arrived(due, delayed_command_responses_.end());
    delayed_command_responses_.erase(due, delayed_command_responses_.end());
    for (const auto& late : arrived)
        for (auto* from : {controller_.get(), former_leader_.get()})
            if (from && from->term() == core::term_of(late.deliver_command.fencing_token))
                from->complete_direct_call(late.deliver_command, core::CommandOutcome::executed,
                                           &late.heartbeat, at());
}

void SimulatedCluster::execute_commands(SimulatedAgent& agent,
                                        const std::vector<core::TaskCommand>& commands) {
    for (const auto& command : commands) {
        const bool known = specs_.contains(command.job);
        const double run = known ? run_time_[command.job] : 1;
        const double save = known && specs_[command.job].checkpoint_interval > Seconds{0}
                                ? specs_[command.job].save_time.count()
                                : 0;
        const bool cached = known && agent.images.contains(specs_[command.job].image);
        const double fetch = known && !cached ? specs_[command.job].image_gb : 0;
        const bool was = agent.holds(command.job, command.index);
        agent.execute(command, run, fetch, save, always_failing_.contains(command.job));
        if (command.verb == core::TaskCommand::Verb::start && !was &&
            agent.holds(command.job, command.index))
            check_start(command.job, command.index, agent);
    }
}

void SimulatedCluster::advance(SimulatedAgent& agent, double dt) {
    if (agent.hung) return;
    bool changed = false;
    for (auto& task : agent.tasks) {
        const auto before = task.state;
        const bool gang = specs_[task.job].kind == core::Kind::gang;
        switch (task.state) {
            case TaskState::fetching:
                if ((task.fetch_left -= dt) > 0) break;
                agent.images.insert(specs_[task.job].image);
                task.state =
                    gang && specs_[task.job].tasks > 1 ? TaskState::waiting : TaskState::running;
                break;
            case TaskState::waiting: {
                std::uint32_t ready = 0;
                for (const auto& [name, other] : agents_)
                    for (const auto& t : other.tasks)
                        if (t.job == task.job && t.attempt == task.attempt &&
                            (t.state == TaskState::waiting || t.state == TaskState::running))
                            ++ready;
                if (ready == specs_[task.job].tasks) {
                    task.state = TaskState::running;
                } else if ((task.waited += dt) > config_.workers.gang_wait.count()) {
                    task.state = TaskState::exited;
                    task.cause = core::ExitCause::alone;
                }
                break;
            }
            case TaskState::running:
                if (specs_[task.job].kind == core::Kind::service) break;
                if ((task.run_left -= dt) > 0) break;
                task.state = TaskState::exited;
                task.cause = core::ExitCause::done;
                completed_[task.job][task.index] = true;
                break;
            case TaskState::saving:
                if ((task.save_left -= dt) > 0) break;
                task.state = TaskState::exited;
                task.cause = core::ExitCause::stopped;
                task.saved = true;
                break;
            case TaskState::exited:
                break;
        }
        changed = changed || before != task.state;
    }
    if (changed) agent.next_heartbeat = std::min(agent.next_heartbeat, now_);
    if (now_ - agent.last_response > config_.workers.lease.count()) {
        agent.tasks.clear();
        ++agent.agent_epoch;
        agent.sequence = 0;
        agent.last_response = now_;
    }
}

void SimulatedCluster::step() {
    now_ += dt_;
    start_booted_machines();
    send_heartbeats();
    deliver_responses();
    deliver_command_responses();
    deliver_repeated_messages();
    retry_requests();
    write_records();
    // It writes, scales out and in nothing: it has neither the store nor a valid lease.
    if (former_leader_) {
        former_leader_->cycle(at());
        if (direct_commands_enabled_) send_direct_commands(*former_leader_);
    }
    if (controller_) {
        controller_->cycle(at());
        if (direct_commands_enabled_) send_direct_commands(*controller_);
        scale();
    }
    write_records();
    check_rules();
}

void SimulatedCluster::start_booted_machines() {
    for (auto it = booting_.begin(); it != booting_.end();) {
        if (it->first > now_) {
            ++it;
            continue;
        }
        it->second.last_response = it->second.next_heartbeat = now_;
        agents_[it->second.name] = it->second;
        it = booting_.erase(it);
    }
}

void SimulatedCluster::send_heartbeats() {
    for (auto& [name, agent] : agents_) {
        if (agent.dead) continue;
        if (agent.spot_notice) *agent.spot_notice = std::max(0.0, *agent.spot_notice - dt_);
        advance(agent, dt_);
        if (agent.hung || now_ < agent.next_heartbeat || now_ < agent.awaits_response_until)
            continue;
        agent.next_heartbeat = now_ + config_.workers.heartbeat.count();
        const auto heartbeat = agent.heartbeat();
        if (agent.reachable && !agent.outbound_unreachable) deliver(agent, heartbeat, true);
    }
}

void SimulatedCluster::deliver_responses() {
    for (auto it = delayed_responses_.begin(); it != delayed_responses_.end();) {
        if (it->at > now_) {
            ++it;
            continue;
        }
        const auto agent = agents_.find(it->agent);
        if (agent != agents_.end() && it->agent_epoch == agent->second.agent_epoch &&
            it->answer.fencing_token >= agent->second.fencing_token) {
            agent->second.fencing_token = it->answer.fencing_token;
            agent->second.last_response = now_;
            execute_commands(agent->second, it->answer.commands);
        }
        it = delayed_responses_.erase(it);
    }
}

void SimulatedCluster::scale() {
    const auto plan = controller_->plan_scaling(at());
    for (const auto& name : plan.release) record_decision("release " + name);
    for (const auto& request : plan.scale_out)
        record_decision("rent " + request.request + " " + request.type + " " + request.zone +
                        (request.spot ? " spot " : " ordinary ") + std::to_string(request.count));
    if (!cloud_up_) return;
    for (const auto& name : plan.release) {
        agents_.erase(name);
        released_.insert(name);
    }
    controller_->released(plan.release);
    for (const auto& request : plan.scale_out) {
        if (!scale_out_enabled_) continue;
        std::vector<std::string> names;
        const bool refused = zones_without_capacity_.contains(request.zone);
        for (std::uint32_t i = 0; !refused && i < request.count && capacity_ > 0; ++i) {
            --capacity_;
            names.push_back(boot_machine(request).name);
        }
        controller_->scaled_out(request, names, at());
    }
}

SimulatedAgent SimulatedCluster::boot_machine(const core::ScaleOutRequest& request) {
    SimulatedAgent agent;
    // The name is part of the recorded digests of decisions.
    agent.name = "rented" + std::to_string(++machines_scaled_out_);
    agent.type = request.type;
    agent.zone = request.zone;
    agent.spot = request.spot;
    booting_.push_back({now_ + boot_, agent});
    return agent;
}

void SimulatedCluster::send_direct_commands(core::Controller& from) {
    const bool from_former_leader = &from == former_leader_.get();
    for (const auto& due : from.direct_commands(at())) {
        check_size(due);
        record_decision("call " + due.machine);
        record_commands(due.machine, due.commands);
        const auto agent = agents_.find(due.machine);
        const bool arrives = reaches(due) && agent->second.with_former_leader == from_former_leader;
        if (arrives && !agent->second.commands_delayed) {
            deliver_command(due, true);
            continue;
        }
        delayed_commands_.push_back(due);
        from.complete_direct_call(due, core::CommandOutcome::unknown, nullptr, at());
    }
}

}  // namespace bendspindle::standin
