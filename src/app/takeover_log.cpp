#include "app/takeover_log.hpp"

#include <spdlog/spdlog.h>

namespace bendspindle::app {

void TakeoverLog::loaded(const core::Controller& controller, Clock::time_point now) {
    recorded_ = controller.unconfirmed();
    half_told_ = all_told_ = recorded_ == 0;
    spdlog::info("took over {} open jobs and {} machines after {:.2f} s", controller.jobs().size(),
                 recorded_, since(now));
}

void TakeoverLog::look(const core::Controller& controller, Clock::time_point now) {
    if (!all_told_) {
        const auto left = controller.unconfirmed();
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

}  // namespace bendspindle::app
