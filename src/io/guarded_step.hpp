/// Keeps exceptions from leaving a thread, which would end the process.
#pragma once

#include <chrono>
#include <exception>
#include <string_view>
#include <thread>

#include "io/log.hpp"

namespace bendspindle::io {

/// Runs one step of a thread's loop. An exception costs only that step: it is logged with the name
/// of the thread, and the call returns after a pause, so that a step that fails each time neither
/// takes all of the processor nor fills the log.
template <typename Step>
void run_guarded(std::string_view thread, Step&& step) {
    constexpr std::chrono::seconds pause_after_failure{1};
    try {
        step();
        return;
    } catch (const std::exception& error) {
        log::error("thread_step_failed", "thread", thread, "cause", error.what());
    }
    std::this_thread::sleep_for(pause_after_failure);
}

}  // namespace bendspindle::io
