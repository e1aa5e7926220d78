// Exceptions stay in the step of a thread that throws them.
#include "io/guarded_step.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

namespace bendspindle::io {
namespace {

TEST(GuardedStep, AnExceptionCostsOnlyItsStep) {
    int steps = 0;
    std::thread loop([&] {
        for (int i = 0; i < 2; ++i)
            run_guarded("test", [&] {
                ++steps;
                if (steps == 1) throw std::runtime_error("the step failed");
            });
    });
    loop.join();
    EXPECT_EQ(steps, 2);
}

TEST(GuardedStep, AFailingStepIsRepeatedAfterAPause) {
    const auto start = std::chrono::steady_clock::now();
    run_guarded("test", [] { throw std::runtime_error("the step failed"); });
    EXPECT_GE(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(500));
}

}  // namespace
}  // namespace bendspindle::io
