#include "standin/timeline.hpp"

#include <ucontext.h>

#include <cstddef>
#include <exception>
#include <stdexcept>
#include <utility>

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/common_interface_defs.h>
#endif

namespace bendspindle::standin {

namespace {

constexpr std::size_t stack_size = 512 * 1024;

struct Ended {};

}  // namespace

// A flow of control and its stack. With the checker for addresses both sides of a switch tell it
// which stack comes next.
struct Flow {
    ucontext_t own{};
    ucontext_t caller{};
    std::unique_ptr<std::byte[]> stack = std::make_unique<std::byte[]>(stack_size);
    std::function<void()> body;
    std::shared_ptr<Timeline::Life> life;
    std::uint64_t wait = 0;  // number of its waits: a wake for an earlier one is void
    bool ending = false;
    bool idle = true;
    std::exception_ptr failed;
    void* own_fake = nullptr;
    void* caller_fake = nullptr;
    const void* caller_stack = nullptr;
    std::size_t caller_size = 0;

    void enter() {
#if defined(__SANITIZE_ADDRESS__)
        __sanitizer_start_switch_fiber(&caller_fake, stack.get(), stack_size);
#endif
        swapcontext(&caller, &own);
#if defined(__SANITIZE_ADDRESS__)
        __sanitizer_finish_switch_fiber(caller_fake, nullptr, nullptr);
#endif
    }
    void leave() {
#if defined(__SANITIZE_ADDRESS__)
        __sanitizer_start_switch_fiber(&own_fake, caller_stack, caller_size);
#endif
        swapcontext(&own, &caller);
        entered();
    }
    void entered() {
#if defined(__SANITIZE_ADDRESS__)
        __sanitizer_finish_switch_fiber(own_fake, &caller_stack, &caller_size);
#endif
    }
    // Bodies one after the other on the same stack.
    static void loop(unsigned high, unsigned low) {
        // makecontext passes integers only.
        // NOLINTNEXTLINE(performance-no-int-to-ptr): the address was split by the caller
        auto* flow = reinterpret_cast<Flow*>(static_cast<std::uintptr_t>(high) << 32 | low);
        flow->entered();
        for (;;) {
            try {
                flow->body();
            } catch (const Ended&) {
            } catch (...) {
                flow->failed = std::current_exception();
            }
            flow->body = nullptr;
            flow->idle = true;
            flow->leave();
        }
    }
    void prepare() {
        getcontext(&own);
        own.uc_stack.ss_sp = stack.get();
        own.uc_stack.ss_size = stack_size;
        own.uc_link = nullptr;
        const auto at = reinterpret_cast<std::uintptr_t>(this);
        makecontext(&own, reinterpret_cast<void (*)()>(&Flow::loop), 2,
                    static_cast<unsigned>(at >> 32), static_cast<unsigned>(at));
    }
};

Timeline::Timeline() : start_(std::chrono::hours(1)), now_(start_) {}

Timeline::~Timeline() {
    end();
}

void Timeline::end() {
    ending_ = true;
    for (auto& flow : flows_) {
        if (flow->idle) continue;
        flow->ending = true;
        running_ = flow.get();
        flow->enter();
        running_ = nullptr;
    }
}

void Timeline::at(Time time, std::function<void()> event) {
    if (!ending_) events_.push({std::max(time, now_), next_order_++, std::move(event)});
}

void Timeline::in(const std::shared_ptr<Life>& life, core::Seconds delay,
                  std::function<void()> event) {
    after(delay, [this, life, event = std::move(event)] {
        if (life->over) return;
        if (life->still_until > now_)
            in(life, core::between(now_, life->still_until), event);
        else
            event();
    });
}

void Timeline::spawn(const std::shared_ptr<Life>& life, std::function<void()> body) {
    if (ending_) return;
    if (idle_.empty()) {
        flows_.push_back(std::make_unique<Flow>());
        flows_.back()->prepare();
        idle_.push_back(flows_.back().get());
    }
    auto* flow = idle_.back();
    idle_.pop_back();
    flow->body = std::move(body);
    flow->life = life;
    flow->idle = false;
    const auto wait = ++flow->wait;
    at(now_, [this, flow, wait] { wake(flow, wait); });
}

void Timeline::wake(Flow* flow, std::uint64_t wait) {
    if (flow->idle || flow->wait != wait) return;
    if (!flow->life->over && flow->life->still_until > now_) {
        at(flow->life->still_until, [this, flow, wait] { wake(flow, wait); });
        return;
    }
    run(flow);
}

void Timeline::run(Flow* flow) {
    auto* const before = std::exchange(running_, flow);
    flow->enter();
    running_ = before;
    if (!flow->idle) return;
    ++flow->wait;
    idle_.push_back(flow);
    if (flow->failed) std::rethrow_exception(std::exchange(flow->failed, nullptr));
}

void Timeline::suspend() {
    auto* flow = running_;
    if (!flow) throw std::logic_error("only a flow can wait");
    if (flow->ending) throw Ended{};
    flow->leave();
    if (flow->ending || flow->life->over) throw Ended{};
}

void Timeline::wait(core::Seconds delay) {
    auto* flow = running_;
    if (!flow) throw std::logic_error("only a flow can wait");
    const auto wait = ++flow->wait;
    after(delay, [this, flow, wait] { wake(flow, wait); });
    suspend();
}

bool Timeline::wait_for(const std::shared_ptr<Signal>& signal, core::Seconds limit) {
    if (signal->set_) return true;
    signal->waiter_ = running_;
    signal->wait_ = running_->wait + 1;
    wait(limit);
    signal->waiter_ = nullptr;
    return signal->set_;
}

void Timeline::set(const std::shared_ptr<Signal>& signal) {
    if (std::exchange(signal->set_, true) || !signal->waiter_) return;
    at(now_, [this, flow = signal->waiter_, wait = signal->wait_] { wake(flow, wait); });
}

void Timeline::run_until(Time end) {
    while (!events_.empty() && events_.top().time <= end) {
        // Moved out first: what it does may add events.
        auto run = std::move(const_cast<Event&>(events_.top()).run);
        now_ = events_.top().time;
        events_.pop();
        run();
    }
    now_ = end;
}

}  // namespace bendspindle::standin
