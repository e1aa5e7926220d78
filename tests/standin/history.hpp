// What users asked of which controller, when, and what they were told: checked for answers that go
// back. An answer that begins after another has ended must not be older.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace bendspindle::standin {

// In the order in which a job may be told of; the two final states exclude each other.
enum class Told : std::uint8_t {
    no_state,  // no answer, or one that names no state and claims nothing
    unknown,   // 404, or refused as one that was never accepted
    open,      // accepted: queued or running
    done,
    cancelled,
};

struct Answer {
    using Clock = std::chrono::steady_clock;
    std::string job;
    int controller = 0;
    Clock::time_point begin{};
    Clock::time_point end{};
    Told told = Told::no_state;
};

class History {
  public:
    using Clock = Answer::Clock;

    void add(Answer answer);
    // Its user has begun to ask for the cancellation.
    void asked_to_cancel(const std::string& job, Clock::time_point at);
    // One line for each answer that breaks the order, and for each final state that contradicts
    // another or that nobody asked for.
    std::vector<std::string> breaches() const;
    // Answers that began before another ended, ended after it and were older: allowed, but the
    // fewer the better.
    std::size_t overtaken() const;
    // Answers that told something.
    std::size_t size() const;
    std::size_t count(Told told) const;
    // Whether a job's end has been told.
    bool over(const std::string& job) const;

  private:
    struct Job {
        std::vector<Answer> answers;
        std::vector<Clock::time_point> cancellations;
    };
    static void check(const std::string& name, const Job& job, std::vector<std::string>& out);

    mutable std::mutex mutex_;
    std::map<std::string, Job> jobs_;
};

}  // namespace bendspindle::standin
