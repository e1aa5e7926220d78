#include "state/failover_progress.hpp"

#include <spdlog/spdlog.h>

namespace bendspindle::state {

namespace {

// A process that ends sooner is taken to end of what it does in this role.
constexpr std::chrono::seconds long_enough{8};

}  // namespace

void FailoverProgress::loaded(const core::Controller& controller, Clock::time_point now) {
    recorded_ = controller.unconfirmed();
    half_told_ = all_told_ = some_answered_ = recorded_ == 0;
    spdlog::info("took over {} open jobs and {} machines after {:.2f} s", controller.jobs().size(),
                 recorded_, since(now));
}

void FailoverProgress::look(const core::Controller& controller, Clock::time_point now) {
    if (!all_told_) {
        const auto left = controller.unconfirmed();
        some_answered_ |= left < recorded_;
        if (!half_told_ && left * 2 <= recorded_) {
            half_told_ = true;
            spdlog::info("half of {} machines confirmed after {:.2f} s", recorded_, since(now));
        }
        if (left == 0) {
            all_told_ = true;
            spdlog::info("all of {} machines confirmed or gone after {:.2f} s", recorded_,
                         since(now));
        }
    }
    if (!start_told_ && controller.counts().starts > 0) {
        start_told_ = true;
        spdlog::info("first start ordered after {:.2f} s", since(now));
    }
}

bool FailoverProgress::progressed(Clock::time_point now) const {
    return some_answered_ && now - leading_since_ >= long_enough;
}

}  // namespace bendspindle::state
