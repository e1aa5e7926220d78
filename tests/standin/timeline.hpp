// Simulated time in which code that waits and calls, as the controller's own does, runs without
// threads: each flow of control has a stack of its own, one runs at a time, and the order depends
// on nothing but the events. A flow belongs to the life of a process, which may stand still or end.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "core/model/types.hpp"

namespace bendspindle::standin {

struct Flow;

class Timeline {
  public:
    using Time = core::TimePoint;
    // Of a process. What waits in one that is over never goes on.
    struct Life {
        bool over = false;
        Time still_until{};  // it stands still: what falls due happens then
    };
    // Ends a wait before its time.
    class Signal {
      public:
        bool is_set() const { return set_; }

      private:
        friend class Timeline;
        bool set_ = false;
        Flow* waiter_ = nullptr;
        std::uint64_t wait_ = 0;
    };

    Timeline();
    ~Timeline();
    Timeline(const Timeline&) = delete;
    Timeline& operator=(const Timeline&) = delete;

    Time now() const { return now_; }
    double seconds() const { return core::between(start_, now_).count(); }
    Time time_of(double seconds) const { return core::later(start_, core::Seconds(seconds)); }
    void at(Time time, std::function<void()> event);
    void after(core::Seconds delay, std::function<void()> event) {
        at(core::later(now_, delay), std::move(event));
    }
    // In a process: later if it stands still, never if it is over.
    void in(const std::shared_ptr<Life>& life, core::Seconds delay, std::function<void()> event);
    // Begins a flow at once; it ends when its body returns.
    void spawn(const std::shared_ptr<Life>& life, std::function<void()> body);
    // Of the flow that runs.
    void wait(core::Seconds delay);
    // False: the time was over first.
    bool wait_for(const std::shared_ptr<Signal>& signal, core::Seconds limit);
    void set(const std::shared_ptr<Signal>& signal);
    void run_until(Time end);
    // Unwinds what still waits, while what it refers to is there.
    void end();

  private:
    struct Event {
        Time time;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    void wake(Flow* flow, std::uint64_t wait);
    void run(Flow* flow);
    void suspend();

    const Time start_;
    Time now_;
    std::uint64_t next_order_ = 0;
    bool ending_ = false;
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<Flow>> flows_;
    std::vector<Flow*> idle_;
    Flow* running_ = nullptr;
};

}  // namespace bendspindle::standin
