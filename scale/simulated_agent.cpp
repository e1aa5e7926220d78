#include "simulated_agent.hpp"

#include <algorithm>
#include <utility>

#include "wire/cbor.hpp"

namespace bendspindle::scale {

namespace {

using core::ExitCause;
using core::TaskState;
using wire::Value;

core::TaskCommand command_from(const Value& entry) {
    core::TaskCommand command;
    const auto verb = entry.at("verb").get<std::string>();
    if (verb == "stop")
        command.verb = core::TaskCommand::Verb::stop;
    else if (verb == "reap")
        command.verb = core::TaskCommand::Verb::acknowledge;
    const auto piece = entry.at("piece").get<std::string>();
    const auto slash = piece.rfind('/');
    command.job = piece.substr(0, slash);
    command.index = static_cast<std::uint32_t>(std::stoul(piece.substr(slash + 1)));
    command.attempt = entry.at("try").get<std::uint64_t>();
    command.grace = Seconds(entry.value("wind_down_s", 0.0));
    return command;
}

}  // namespace

std::optional<Commands> parse_commands(std::string_view body) {
    const auto parsed = wire::parse_cbor(body);
    if (!parsed || !parsed->is_object()) return std::nullopt;
    try {
        Commands out;
        if (parsed->contains("baton")) out.fencing_token = parsed->at("baton").get<std::uint64_t>();
        if (parsed->contains("shift")) out.agent_epoch = parsed->at("shift").get<std::uint64_t>();
        if (parsed->contains("orders"))
            for (const auto& entry : parsed->at("orders"))
                out.commands.push_back(command_from(entry));
        return out;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

SimulatedAgent::SimulatedAgent(MachineIdentity identity, core::AgentTimings times,
                               TaskOracle& oracle, TimePoint now)
    : identity_(std::move(identity)), times_(times), oracle_(oracle), lease_from_(now) {}

SimulatedAgent::~SimulatedAgent() = default;

core::Heartbeat SimulatedAgent::heartbeat() {
    core::Heartbeat out;
    out.machine = identity_.name;
    out.address = identity_.address;
    out.type = identity_.type;
    out.zone = identity_.zone;
    out.agent_epoch = agent_epoch_;
    out.sequence = ++seq_;
    out.fencing_token = token_;
    for (const auto& task : tasks_) out.tasks.push_back(task.seen);
    return out;
}

bool SimulatedAgent::answered(TimePoint sent, std::uint64_t agent_epoch, const Commands& commands,
                              TimePoint now) {
    if (agent_epoch != agent_epoch_ || !commands.fencing_token || *commands.fencing_token < token_)
        return false;
    saw_token(*commands.fencing_token, now);
    lease_from_ = std::max(lease_from_, sent);
    for (const auto& command : commands.commands) execute(command, now);
    return true;
}

int SimulatedAgent::direct(const Commands& commands, TimePoint now) {
    if (!commands.fencing_token || !commands.agent_epoch) return 400;
    if (*commands.fencing_token < token_ || *commands.agent_epoch != agent_epoch_) return 409;
    saw_token(*commands.fencing_token, now);
    for (const auto& command : commands.commands) execute(command, now);
    return 200;
}

// A higher token is a change at most once in half of a lease.
void SimulatedAgent::saw_token(std::uint64_t fencing_token, TimePoint now) {
    if (fencing_token <= token_) return;
    token_ = fencing_token;
    if (token_counted_ && core::later(*token_counted_, times_.lease / 2) > now) return;
    token_counted_ = now;
    mark_changed();
}

void SimulatedAgent::execute(const core::TaskCommand& command, TimePoint now) {
    const auto it = std::find_if(tasks_.begin(), tasks_.end(), [&](const Task& task) {
        return task.seen.job == command.job && task.seen.index == command.index &&
               task.seen.attempt == command.attempt;
    });
    const bool known = it != tasks_.end();
    switch (command.verb) {
        case core::TaskCommand::Verb::start:
            if (!known) start(command, now);
            return;
        case core::TaskCommand::Verb::stop:
            if (known && it->seen.state != TaskState::exited) exit(*it, ExitCause::stopped, now);
            return;
        case core::TaskCommand::Verb::acknowledge:
            if (known && it->seen.state == TaskState::exited) tasks_.erase(it);
            return;
    }
}

ExitCause SimulatedAgent::refusal(const core::TaskCommand& command) const {
    const auto* job = oracle_.job(command.job);
    if (!job || command.index >= job->spec.tasks) return ExitCause::unknown;
    auto free = identity_.size;
    for (const auto& task : tasks_) {
        if (task.seen.state == TaskState::exited) continue;
        if (task.seen.job == command.job && task.seen.index == command.index)
            return ExitCause::busy;
        free -= task.need;
    }
    return free.holds(job->spec.need) ? ExitCause::none : ExitCause::no_room;
}

// A machine fetches an image once for all tasks that need it.
TimePoint SimulatedAgent::image_ready(const core::JobSpec& spec, TimePoint now) {
    const auto fetched = core::later(now, Seconds(spec.image_gb / identity_.fetch_gb_per_s));
    return std::max(images_.try_emplace(spec.image, fetched).first->second, now);
}

void SimulatedAgent::start(const core::TaskCommand& command, TimePoint now) {
    Task task;
    task.seen = {command.job,         command.index,   command.attempt,
                 TaskState::fetching, ExitCause::none, false};
    if (const auto cause = refusal(command); cause != ExitCause::none) {
        task.seen.state = TaskState::exited;
        task.seen.cause = cause;
        task.due = never;
    } else {
        const auto& spec = oracle_.job(command.job)->spec;
        task.need = spec.need;
        task.due = image_ready(spec, now);
    }
    tasks_.push_back(std::move(task));
    mark_changed();
}

void SimulatedAgent::has_image(Task& task, TimePoint now) {
    const auto& job = *oracle_.job(task.seen.job);
    if (job.done[task.seen.index]) return exit(task, ExitCause::done, now);
    task.here = true;
    oracle_.enters(task.seen.job, task.seen.index, this, now);
    if (job.spec.kind != core::Kind::gang) return run(task, now);
    task.seen.state = TaskState::waiting;
    task.due = core::later(now, times_.gang_wait);
    const auto seen = task.seen;  // the last one to wait makes all of them run, this one too
    oracle_.gang_waits(seen.job, seen.attempt, seen.index, this, now);
}

void SimulatedAgent::run(Task& task, TimePoint now) {
    const auto& job = *oracle_.job(task.seen.job);
    task.seen.state = TaskState::running;
    task.due = job.spec.kind == core::Kind::service ? never : core::later(now, job.run);
    mark_changed();
}

void SimulatedAgent::step(Task& task, TimePoint now) {
    const auto seen = task.seen;
    switch (seen.state) {
        case TaskState::fetching:
            return has_image(task, now);
        case TaskState::waiting:
            return exit(task, ExitCause::alone, now);
        case TaskState::running:
            if (oracle_.job(seen.job)->spec.kind == core::Kind::gang)
                return oracle_.gang_ends(seen.job, seen.attempt, now);
            return exit(task, ExitCause::done, now);
        case TaskState::saving:
        case TaskState::exited:
            return;
    }
}

void SimulatedAgent::exit(Task& task, ExitCause cause, TimePoint now) {
    const bool was_here = std::exchange(task.here, false);
    task.seen.state = TaskState::exited;
    task.seen.cause = cause;
    task.due = never;
    mark_changed();
    const auto seen = task.seen;
    if (was_here) oracle_.leaves(seen.job, seen.index, this);
    if (cause == ExitCause::done) return oracle_.finished(seen.job, seen.index);
    if (was_here && oracle_.job(seen.job)->spec.kind == core::Kind::gang)
        oracle_.gang_lost(seen.job, seen.attempt, seen.index, now);
}

void SimulatedAgent::gang_runs(const std::string& job, std::uint64_t attempt, TimePoint now) {
    for (auto& task : tasks_)
        if (task.seen.job == job && task.seen.attempt == attempt &&
            task.seen.state == TaskState::waiting)
            run(task, now);
}

void SimulatedAgent::gang_done(const std::string& job, std::uint64_t attempt, TimePoint now) {
    for (auto& task : tasks_)
        if (task.seen.job == job && task.seen.attempt == attempt &&
            task.seen.state == TaskState::running)
            exit(task, ExitCause::done, now);
}

// The others notice within `gang_peer_s`; here, after half of it.
void SimulatedAgent::gang_broken(const std::string& job, std::uint64_t attempt, TimePoint now) {
    for (auto& task : tasks_)
        if (task.seen.job == job && task.seen.attempt == attempt &&
            task.seen.state == TaskState::running) {
            task.seen.cause = ExitCause::peers;
            task.due = core::later(now, times_.gang_peer / 2);
            mark_changed();
        }
}

void SimulatedAgent::drop_all(TimePoint now) {
    for (std::size_t i = 0; i < tasks_.size(); ++i)
        if (tasks_[i].seen.state != TaskState::exited) exit(tasks_[i], ExitCause::stopped, now);
    tasks_.clear();
}

void SimulatedAgent::advance(TimePoint now) {
    if (core::later(lease_from_, times_.lease) < now) restart(now);
    // Steps may add to nothing but change any of them: gangs end together.
    for (std::size_t i = 0; i < tasks_.size(); ++i) {
        if (tasks_[i].due > now) continue;
        if (tasks_[i].seen.state == TaskState::running && tasks_[i].seen.cause == ExitCause::peers)
            exit(tasks_[i], ExitCause::peers, now);
        else
            step(tasks_[i], now);
    }
}

TimePoint SimulatedAgent::next_due() const {
    // A little beyond the end of the lease: at its very end it still holds.
    auto due = core::later(lease_from_, times_.lease + std::chrono::milliseconds(1));
    for (const auto& task : tasks_) due = std::min(due, task.due);
    return due;
}

void SimulatedAgent::restart(TimePoint now) {
    drop_all(now);
    ++agent_epoch_;
    lease_from_ = now;
    mark_changed();
}

void SimulatedAgent::die(TimePoint now) {
    drop_all(now);
}

void SimulatedAgent::mark_changed() {
    changed_ = true;
    if (on_change_) on_change_();
}

}  // namespace bendspindle::scale
