#include "agents/agent_command_client.hpp"

#include <algorithm>
#include <thread>

#include "io/http_client.hpp"
#include "wire/workers.hpp"

namespace bendspindle::agents {

namespace {

constexpr int threads = 16;
constexpr std::chrono::milliseconds call_limit{1500};

}  // namespace

void AgentCommandClient::start() {
    for (int i = 0; i < threads; ++i) std::thread([this] { run(); }).detach();
}

void AgentCommandClient::send(core::DirectCommand call) {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(call));
    wake_.notify_one();
}

void AgentCommandClient::run() {
    using Clock = std::chrono::steady_clock;
    for (;;) {
        core::DirectCommand call;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [&] { return !queue_.empty(); });
            call = std::move(queue_.front());
            queue_.pop_front();
        }
        auto outcome = core::CommandOutcome::unknown;
        std::optional<core::Heartbeat> heartbeat;
        if (const auto endpoint = io::parse_endpoint(call.address)) {
            io::HttpClient client(*endpoint, call_limit);
            if (const auto answer =
                    client.post(wire::path::direct_orders, wire::direct_commands_body(call))) {
                if (answer->status == 200 || answer->status == 409)
                    heartbeat = wire::parse_heartbeat(answer->body);
                if (answer->status == 409) outcome = core::CommandOutcome::rejected;
                if (answer->status == 200 && heartbeat) outcome = core::CommandOutcome::executed;
            }
        }
        auto access = leader_state_.lock();
        if (!access.controller() || access.controller()->term() != call.fencing_token) continue;
        access.controller()->called(call, outcome, heartbeat ? &*heartbeat : nullptr, Clock::now());
        access.request_write();
        // A machine that has just been confirmed, or answered under another session, has work; one
        // that was told to stop tasks may have room.
        const bool stops = std::any_of(
            call.commands.begin(), call.commands.end(),
            [](const auto& command) { return command.verb == core::TaskCommand::Verb::stop; });
        if (call.commands.empty() || stops) access.request_placement();
    }
}

}  // namespace bendspindle::agents
