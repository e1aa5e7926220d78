#include "app/courier.hpp"

#include <algorithm>
#include <thread>

#include "io/http_client.hpp"
#include "wire/workers.hpp"

namespace bendspindle::app {

namespace {

constexpr int threads = 16;
constexpr std::chrono::milliseconds call_limit{1500};

}  // namespace

void Courier::start() {
    for (int i = 0; i < threads; ++i) std::thread([this] { run(); }).detach();
}

void Courier::send(core::DirectCall call) {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(call));
    wake_.notify_one();
}

void Courier::run() {
    using Clock = std::chrono::steady_clock;
    for (;;) {
        core::DirectCall call;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [&] { return !queue_.empty(); });
            call = std::move(queue_.front());
            queue_.pop_front();
        }
        auto outcome = core::CallOutcome::unknown;
        std::optional<core::Report> report;
        if (const auto endpoint = io::parse_endpoint(call.address)) {
            io::HttpClient client(*endpoint, call_limit);
            if (const auto answer =
                    client.post(wire::path::direct_orders, wire::direct_body(call))) {
                if (answer->status == 200 || answer->status == 409)
                    report = wire::parse_report(answer->body);
                if (answer->status == 409) outcome = core::CallOutcome::rejected;
                if (answer->status == 200 && report) outcome = core::CallOutcome::executed;
            }
        }
        const std::lock_guard lock(office_.mutex);
        if (!office_.controller || office_.controller->epoch() != call.token) continue;
        office_.controller->called(call, outcome, report ? &*report : nullptr, Clock::now());
        office_.want_write();
        // A machine that has just been confirmed, or answered under another session, has work; one
        // that was told to stop tasks may have room.
        const bool stops =
            std::any_of(call.orders.begin(), call.orders.end(),
                        [](const auto& order) { return order.verb == core::Order::Verb::stop; });
        if (call.orders.empty() || stops) office_.want_place();
    }
}

}  // namespace bendspindle::app
