// The last log line of a process that a signal ends.
#include "io/crash_report.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>

namespace bendspindle::io {
namespace {

// Ends the process while a thread serves the request.
void end_within_request(const std::string& description, const std::function<void()>& end) {
    install_crash_report();
    std::thread([&] {
        const SignalStack signal_stack;
        const CurrentRequest request(description);
        end();
    }).join();
}

// Guards against an end that no log explains.
TEST(CrashReport, NamesTheSignalAndTheRequest) {
    testing::FLAGS_gtest_death_test_style = "threadsafe";
    EXPECT_EXIT(end_within_request("GET /work/job-1\" \x01 HTTP/1.1", [] { std::abort(); }),
                testing::KilledBySignal(SIGABRT),
                "process_ended signal=6 request=\"GET /work/job-1\\? \\? HTTP/1.1\"");
}

// Recurses until the stack of the thread is used up.
int overflow(int depth) {
    volatile char bytes[1024] = {};
    bytes[0] = static_cast<char>(depth);
    return depth < 0 ? bytes[0] : overflow(depth + 1) + bytes[0];
}

// The handler runs on a stack of its own, since that of the thread is used up.
TEST(CrashReport, IsWrittenAfterAStackOverflow) {
    struct sigaction existing {};
    ASSERT_EQ(::sigaction(SIGSEGV, nullptr, &existing), 0);
    if (existing.sa_handler != SIG_DFL) GTEST_SKIP() << "a sanitizer handles the signal";
    testing::FLAGS_gtest_death_test_style = "threadsafe";
    EXPECT_EXIT(end_within_request("GET /healthz HTTP/1.1", [] { std::exit(overflow(0) & 1); }),
                testing::KilledBySignal(SIGSEGV),
                "process_ended signal=11 request=\"GET /healthz HTTP/1.1\"");
}

}  // namespace
}  // namespace bendspindle::io
