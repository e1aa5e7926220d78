#include "daemon/placement_loop.hpp"

#include <spdlog/spdlog.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "io/guarded_step.hpp"
#include "io/log.hpp"

namespace bendspindle::daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds min_cycle_interval{250};

// Logs at debug level how the time until each job start was spent. tools/reports.py parses these
// lines.
void log_started_jobs(core::Controller& controller) {
    const auto seconds = [](core::Seconds value) { return fmt::format("{:.2f}", value.count()); };
    for (const auto& start : controller.take_started()) {
        if (!spdlog::should_log(spdlog::level::debug)) continue;
        io::log::debug("job_started", "job", start.job, "class", start.job_class, "team",
                       start.team, "tasks", start.tasks, "total_s", seconds(start.total()),
                       "record_s", seconds(start.record), "capacity_s", seconds(start.capacity),
                       "preempted_others", start.preempted_others, "preemption_s",
                       seconds(start.preemption), "heartbeat_s", seconds(start.heartbeat),
                       "image_s", seconds(start.image));
    }
}

}  // namespace

PlacementLoop::PlacementLoop(core::Seconds interval, state::LeaderState& leader_state,
                             leadership::LeaderElector& elector,
                             const leadership::CancellationReplication& replication,
                             agents::AgentCommandClient& agent_commands)
    : interval_(interval),
      leader_state_(leader_state),
      elector_(elector),
      replication_(replication),
      agent_commands_(agent_commands) {}

void PlacementLoop::run() {
    for (;;) io::run_guarded("placement_loop", [this] { run_next_cycle(); });
}

void PlacementLoop::run_next_cycle() {
    auto access = leader_state_.lock();
    access.wait_for_placement_request(interval_);
    if (Clock::now() < next_cycle_) {
        access.unlock();
        std::this_thread::sleep_until(next_cycle_);
        access.relock();
    }
    access.take_placement_request();
    auto commands = run_cycle(access);
    access.unlock();
    for (auto& command : commands) agent_commands_.send(std::move(command));
    next_cycle_ = Clock::now() + min_cycle_interval;
}

std::vector<core::DirectCommand> PlacementLoop::run_cycle(state::LeaderState::Access& access) {
    auto* const controller = access.controller();
    if (controller == nullptr) return {};
    controller->hold_terminal_states_until(elector_.terminal_states_allowed_from());
    controller->cycle(Clock::now());
    // Prevents ran_cancelled: without this check, a former leader that no longer renewed an agent's
    // lease kept starting tasks by direct command in the following agent epoch, although another
    // leader had cancelled them (DirectCommands.ALeaderThatMayNotRenewStartsNothing).
    auto commands = controller->direct_commands(Clock::now(), replication_.may_renew());
    log_started_jobs(*controller);
    if (auto& progress = access.failover_progress()) {
        progress->observe(*controller, Clock::now());
        if (progress->has_progressed(Clock::now())) elector_.record_progress();
    }
    return commands;
}

}  // namespace bendspindle::daemon
