#include "io/connection_pool.hpp"

#include <system_error>
#include <thread>
#include <utility>

namespace bendspindle::io {

thread_local bool ConnectionPool::turning_away_ = false;

void ConnectionPool::enqueue(std::function<void()> serve) {
    bool grow = false;
    bool turn_away = false;
    {
        const std::lock_guard lock(mutex_);
        turn_away = queue_.size() >= max_waiting_;
        if (!turn_away) queue_.push_back(std::move(serve));
        if (!turn_away && queue_.size() > idle_ && threads_ < max_threads_) {
            ++threads_;
            grow = true;
        }
    }
    // Otherwise connections that pile up while the process is paused take all its sockets, and it
    // reaches neither the key-value store nor an agent (tests/http_server_test.cpp).
    if (turn_away) {
        turning_away_ = true;
        serve();  // NOLINT(bugprone-use-after-move): moved only when it was queued
        turning_away_ = false;
        return;
    }
    if (!grow) {
        wake_.notify_one();
        return;
    }
    try {
        // Detached, not kept: `shutdown` waits for the count of threads to reach 0.
        std::thread([this] { work(); }).detach();
    } catch (const std::system_error&) {
        const std::lock_guard lock(mutex_);
        --threads_;  // one of the others takes it from the queue
    }
}

void ConnectionPool::work() {
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
