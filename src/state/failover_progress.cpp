#include "state/failover_progress.hpp"

#include <string>

#include "io/log.hpp"

namespace bendspindle::state {

namespace {

// A process that ends sooner after its election is assumed to have failed at its work as leader.
constexpr std::chrono::seconds min_leading_time{8};

std::string two_decimals(double value) {
    return fmt::format("{:.2f}", value);
}

}  // namespace

void FailoverProgress::on_records_loaded(const core::Controller& controller,
                                         Clock::time_point now) {
    recorded_machines_ = controller.unfenced_machine_count();
    half_logged_ = all_logged_ = any_fenced_ = recorded_machines_ == 0;
    io::log::info("records_loaded", "open_jobs", controller.jobs().size(), "machines",
                  recorded_machines_, "after_s", two_decimals(seconds_since_election(now)));
}

void FailoverProgress::observe(const core::Controller& controller, Clock::time_point now) {
    if (!all_logged_) observe_machines(controller, now);
    if (!first_start_logged_ && controller.counts().starts > 0) {
        first_start_logged_ = true;
        io::log::info("first_start_ordered", "after_s", two_decimals(seconds_since_election(now)));
    }
}

void FailoverProgress::observe_machines(const core::Controller& controller, Clock::time_point now) {
    const auto unfenced = controller.unfenced_machine_count();
    any_fenced_ |= unfenced < recorded_machines_;
    if (!half_logged_ && unfenced * 2 <= recorded_machines_) {
        half_logged_ = true;
        io::log::info("half_of_machines_fenced", "machines", recorded_machines_, "after_s",
                      two_decimals(seconds_since_election(now)));
    }
    if (unfenced == 0) {
        all_logged_ = true;
        io::log::info("all_machines_fenced_or_gone", "machines", recorded_machines_, "after_s",
                      two_decimals(seconds_since_election(now)));
    }
}

bool FailoverProgress::has_progressed(Clock::time_point now) const {
    return any_fenced_ && now - elected_at_ >= min_leading_time;
}

}  // namespace bendspindle::state
