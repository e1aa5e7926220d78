#include "io/connection_pool.hpp"

#include <system_error>
#include <thread>
#include <utility>

#include "io/crash_report.hpp"

namespace bendspindle::io {

thread_local bool ConnectionPool::rejecting_ = false;

void ConnectionPool::enqueue(std::function<void()> serve) {
    bool start_thread = false;
    bool reject = false;
    {
        const std::lock_guard lock(mutex_);
        reject = queue_.size() >= max_waiting_;
        if (!reject) queue_.push_back(std::move(serve));
        if (!reject && queue_.size() > idle_ && threads_ < max_threads_) {
            ++threads_;
            start_thread = true;
        }
    }
    // Without this limit, connections that accumulate while the process is paused use up all its
    // sockets, and it can reach neither the key-value store nor any agent
    // (tests/http_server_test.cpp).
    if (reject) {
        rejecting_ = true;
        serve();  // NOLINT(bugprone-use-after-move): moved only if it was queued
        rejecting_ = false;
        return;
    }
    if (!start_thread) {
        wake_.notify_one();
        return;
    }
    try {
        // Detached, because `shutdown` waits until `threads_` is 0 instead of joining.
        std::thread([this] { serve_connections(); }).detach();
    } catch (const std::system_error&) {
        const std::lock_guard lock(mutex_);
        --threads_;  // another thread serves the queued connection
    }
}

void ConnectionPool::serve_connections() {
    const SignalStack signal_stack;
    std::unique_lock lock(mutex_);
    for (;;) {
        ++idle_;
        wake_.wait(lock, [&] { return stopping_ || !queue_.empty(); });
        --idle_;
        if (queue_.empty()) break;
        auto serve = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        serve();
        serve = nullptr;
        lock.lock();
    }
    if (--threads_ == 0) ended_.notify_all();
}

void ConnectionPool::shutdown() {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    wake_.notify_all();
    ended_.wait(lock, [&] { return threads_ == 0; });
}

}  // namespace bendspindle::io
