#include "daemon/failover.hpp"

#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "io/guarded_step.hpp"
#include "state/leader_loader.hpp"

namespace bendspindle::daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds load_retry_interval{300};

}  // namespace

Failover::Failover(const config::Settings& settings,
                   const config::OperatorSettings& operator_settings, state::KeyValueStore& store,
                   state::LeaderState& leader_state, leadership::LeaderElector& elector,
                   leadership::CancellationReplication& replication,
                   agents::HeartbeatHandler& heartbeats)
    : settings_(settings),
      operator_settings_(operator_settings),
      store_(store),
      leader_state_(leader_state),
      elector_(elector),
      replication_(replication),
      heartbeats_(heartbeats) {}

void Failover::on_elected(std::uint64_t term, std::uint64_t leader_key_revision) {
    heartbeats_.on_elected();
    replication_.on_elected();
    std::thread([this, term, leader_key_revision,
                 progress = state::FailoverProgress(Clock::now())] {
        load(term, leader_key_revision, progress);
    }).detach();
}

void Failover::load(std::uint64_t term, std::uint64_t leader_key_revision,
                    state::FailoverProgress progress) {
    std::unique_ptr<core::Controller> controller;
    std::optional<std::uint64_t> revision;
    for (;;) {
        if (!leads_under(term)) return;
        controller = std::make_unique<core::Controller>(
            config::core_config(settings_, operator_settings_), term);
        io::run_guarded("failover", [&] { revision = state::load_records(store_, *controller); });
        if (revision) break;
        std::this_thread::sleep_for(load_retry_interval);
    }
    auto access = leader_state_.lock();
    if (!leads_under(term)) return;
    controller->hold_terminal_states_until(elector_.terminal_states_allowed_from());
    progress.on_records_loaded(*controller, Clock::now());
    access.failover_progress() = progress;
    access.job_watch_cursor().reset(*revision);
    access.install(std::move(controller), leader_key_revision);
}

bool Failover::leads_under(std::uint64_t term) const {
    const auto status = elector_.status();
    return status.leading && status.term == term;
}

void Failover::on_deposed() {
    auto access = leader_state_.lock();
    if (access.controller() != nullptr)
        replication_.on_deposed(leadership::cancelled_jobs(*access.controller()));
    access.remove_controller();
}

}  // namespace bendspindle::daemon
