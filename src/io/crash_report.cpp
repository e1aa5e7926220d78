#include "io/crash_report.hpp"

#include <signal.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <initializer_list>

namespace bendspindle::io {

namespace {

constexpr std::size_t max_description_length = 96;

// The description of the current thread's request, ended by a zero.
thread_local std::array<char, max_description_length + 1> request_of_thread{};

// A line built without allocation, which a signal handler may not do.
class Line {
  public:
    void append(std::string_view text) {
        const auto n = std::min(text.size(), bytes_.size() - size_);
        std::copy_n(text.begin(), n, bytes_.begin() + static_cast<std::ptrdiff_t>(size_));
        size_ += n;
    }
    void append(int number) {
        std::array<char, 12> digits{};
        auto begin = digits.size();
        do {
            digits[--begin] = static_cast<char>('0' + number % 10);
            number /= 10;
        } while (number > 0 && begin > 0);
        append({digits.data() + begin, digits.size() - begin});
    }
    void write() const {
        // Nothing can be done about an error here.
        [[maybe_unused]] const auto n = ::write(STDERR_FILENO, bytes_.data(), size_);
    }

  private:
    std::array<char, 256> bytes_{};
    std::size_t size_ = 0;
};

void report_and_return(int signal) {
    Line line;
    line.append("error process_ended signal=");
    line.append(signal);
    line.append(" request=\"");
    line.append(request_of_thread.data());
    line.append("\"\n");
    line.write();
    // SA_RESETHAND restored the default action: the signal ends the process when it recurs.
}

}  // namespace

void install_crash_report() {
    struct sigaction action {};
    action.sa_handler = report_and_return;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
    for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
        struct sigaction existing {};
        if (::sigaction(signal, nullptr, &existing) != 0 || existing.sa_handler != SIG_DFL)
            continue;
        ::sigaction(signal, &action, nullptr);
    }
}

SignalStack::SignalStack() {
    constexpr std::size_t bytes = 64 * 1024;
    stack_t existing{};
    if (::sigaltstack(nullptr, &existing) != 0 || (existing.ss_flags & SS_DISABLE) == 0) return;
    auto* const memory = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE,
                                MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (memory == MAP_FAILED) return;
    stack_t stack{};
    stack.ss_sp = memory;
    stack.ss_size = bytes;
    if (::sigaltstack(&stack, nullptr) != 0) {
        ::munmap(memory, bytes);
        return;
    }
    memory_ = memory;
    size_ = bytes;
}

SignalStack::~SignalStack() {
    if (memory_ == nullptr) return;
    stack_t none{};
    none.ss_flags = SS_DISABLE;
    ::sigaltstack(&none, nullptr);
    ::munmap(memory_, size_);
}

CurrentRequest::CurrentRequest(std::string_view description) {
    const auto n = std::min(description.size(), max_description_length);
    std::transform(description.begin(), description.begin() + static_cast<std::ptrdiff_t>(n),
                   request_of_thread.begin(),
                   [](char c) { return c >= ' ' && c <= '~' && c != '"' ? c : '?'; });
    request_of_thread[n] = '\0';
}

CurrentRequest::~CurrentRequest() {
    request_of_thread[0] = '\0';
}

std::string_view current_request() {
    return request_of_thread.data();
}

}  // namespace bendspindle::io
