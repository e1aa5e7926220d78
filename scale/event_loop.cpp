#include "event_loop.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace bendspindle::scale {

namespace {

constexpr std::size_t events_at_once = 256;
constexpr std::chrono::milliseconds longest_wait{50};

}  // namespace

EventLoop::EventLoop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::~EventLoop() {
    ::close(epoll_);
}

void EventLoop::watch(int socket, std::uint32_t events, OnReady on_ready) {
    watched_[socket] = {++serial_, std::move(on_ready)};
    epoll_event event{};
    event.events = events;
    event.data.fd = socket;
    if (::epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event) != 0)
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void EventLoop::change(int socket, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.fd = socket;
    ::epoll_ctl(epoll_, EPOLL_CTL_MOD, socket, &event);
}

void EventLoop::forget(int socket) {
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
    watched_.erase(socket);
}

void EventLoop::at(TimePoint when, std::function<void()> action) {
    timers_.push({when, ++serial_, std::move(action)});
}

void EventLoop::run_timers() {
    const auto now = Clock::now();
    while (!stopped_ && !timers_.empty() && timers_.top().when <= now) {
        // A priority queue gives its top as constant; the action is moved out before it is popped.
        auto action = std::move(const_cast<Timer&>(timers_.top()).action);
        timers_.pop();
        action();
    }
}

void EventLoop::wait(TimePoint end) {
    auto until = std::min(end, Clock::now() + longest_wait);
    if (!timers_.empty()) until = std::min(until, timers_.top().when);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now());
    std::array<epoll_event, events_at_once> ready{};
    const auto count = ::epoll_wait(epoll_, ready.data(), static_cast<int>(ready.size()),
                                    static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
    const auto newest = serial_;
    for (int i = 0; i < count && !stopped_; ++i) {
        const auto& event = ready[static_cast<std::size_t>(i)];
        const auto it = watched_.find(event.data.fd);
        // A descriptor closed and opened anew within this round is not what the event is about.
        if (it == watched_.end() || it->second.serial > newest) continue;
        const auto on_ready = it->second.on_ready;
        on_ready(event.events);
    }
}

void EventLoop::run_until(TimePoint end) {
    stopped_ = false;
    while (!stopped_ && Clock::now() < end) {
        wait(end);
        run_timers();
    }
}

}  // namespace bendspindle::scale
