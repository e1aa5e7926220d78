#include "agents/agent_command_client.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "agents/command_log.hpp"
#include "core/model/fencing_token.hpp"
#include "io/guarded_step.hpp"
#include "io/http_client.hpp"
#include "wire/agent_messages.hpp"
#include "wire/http_status.hpp"

namespace bendspindle::agents {

namespace {

constexpr int sender_threads = 16;
constexpr std::chrono::milliseconds call_timeout{1500};

using CallResult = AgentCommandClient::CallResult;

CallResult call_agent(const core::DirectCommand& command) {
    CallResult result;
    const auto endpoint = io::parse_endpoint(command.address);
    if (!endpoint) return result;
    io::HttpClient client(*endpoint, call_timeout);
    const auto response =
        client.post(wire::path::direct_commands, wire::direct_commands_body(command));
    if (!response) return result;
    if (response->status == wire::http_status::ok ||
        response->status == wire::http_status::conflict) {
        result.heartbeat = wire::parse_heartbeat(response->body);
        if (!result.heartbeat) io::log_malformed_response(command.address, "orders");
    }
    if (response->status == wire::http_status::conflict)
        result.outcome = core::CommandOutcome::rejected;
    if (response->status == wire::http_status::ok && result.heartbeat)
        result.outcome = core::CommandOutcome::executed;
    return result;
}

// Returns whether a placement cycle may find something to place after this command. A machine that
// has just been fenced, or whose agent responded under another agent epoch, can receive work; a
// machine that was sent stop commands may have free capacity.
bool may_allow_placement(const core::DirectCommand& command) {
    return command.commands.empty() ||
           std::any_of(command.commands.begin(), command.commands.end(),
                       [](const auto& task) { return task.verb == core::TaskCommand::Verb::stop; });
}

}  // namespace

void AgentCommandClient::start() {
    for (int i = 0; i < sender_threads; ++i) std::thread([this] { run(); }).detach();
}

void AgentCommandClient::send(core::DirectCommand command) {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(command));
    queue_not_empty_.notify_one();
}

core::DirectCommand AgentCommandClient::next_command() {
    std::unique_lock lock(mutex_);
    queue_not_empty_.wait(lock, [&] { return !queue_.empty(); });
    auto command = std::move(queue_.front());
    queue_.pop_front();
    return command;
}

void AgentCommandClient::run() {
    for (;;) {
        const auto command = next_command();
        CallResult result;
        io::run_guarded("agent_commands", [&] { result = call_agent(command); });
        io::run_guarded("agent_commands", [&] { complete(command, result); });
    }
}

void AgentCommandClient::complete(const core::DirectCommand& command, const CallResult& result) {
    log_direct_commands(command, result.outcome);
    auto access = leader_state_.lock();
    auto* const controller = access.controller_for_term(core::term_of(command.fencing_token));
    if (controller == nullptr) return;
    controller->complete_direct_call(command, result.outcome,
                                     result.heartbeat ? &*result.heartbeat : nullptr,
                                     std::chrono::steady_clock::now());
    access.request_write();
    if (may_allow_placement(command)) access.request_placement();
}

}  // namespace bendspindle::agents
