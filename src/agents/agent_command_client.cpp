#include "agents/agent_command_client.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "io/http_client.hpp"
#include "wire/agent_messages.hpp"
#include "wire/http_status.hpp"

namespace bendspindle::agents {

namespace {

constexpr int threads = 16;
constexpr std::chrono::milliseconds call_limit{1500};

struct CallResult {
    core::CommandOutcome outcome = core::CommandOutcome::unknown;
    std::optional<core::Heartbeat> heartbeat;  // what the agent answered
};

CallResult call_agent(const core::DirectCommand& command) {
    CallResult result;
    const auto endpoint = io::parse_endpoint(command.address);
    if (!endpoint) return result;
    io::HttpClient client(*endpoint, call_limit);
    const auto answer =
        client.post(wire::path::direct_commands, wire::direct_commands_body(command));
    if (!answer) return result;
    if (answer->status == wire::http_status::ok || answer->status == wire::http_status::conflict)
        result.heartbeat = wire::parse_heartbeat(answer->body);
    if (answer->status == wire::http_status::conflict)
        result.outcome = core::CommandOutcome::rejected;
    if (answer->status == wire::http_status::ok && result.heartbeat)
        result.outcome = core::CommandOutcome::executed;
    return result;
}

// Whether there may be something to place once this command was called: a machine that has just
// been fenced, or answered under another agent epoch, has work; one that was ordered to stop tasks
// may have capacity.
bool may_allow_placement(const core::DirectCommand& command) {
    return command.commands.empty() ||
           std::any_of(command.commands.begin(), command.commands.end(),
                       [](const auto& task) { return task.verb == core::TaskCommand::Verb::stop; });
}

}  // namespace

void AgentCommandClient::start() {
    for (int i = 0; i < threads; ++i) std::thread([this] { run(); }).detach();
}

void AgentCommandClient::send(core::DirectCommand command) {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(command));
    wake_.notify_one();
}

core::DirectCommand AgentCommandClient::next_command() {
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [&] { return !queue_.empty(); });
    auto command = std::move(queue_.front());
    queue_.pop_front();
    return command;
}

void AgentCommandClient::run() {
    using Clock = std::chrono::steady_clock;
    for (;;) {
        const auto call = next_command();
        const auto [outcome, heartbeat] = call_agent(call);

        auto access = leader_state_.lock();
        if (!access.controller() || access.controller()->term() != call.fencing_token) continue;
        access.controller()->complete_direct_call(call, outcome, heartbeat ? &*heartbeat : nullptr,
                                                  Clock::now());
        access.request_write();
        if (may_allow_placement(call)) access.request_placement();
    }
}

}  // namespace bendspindle::agents
