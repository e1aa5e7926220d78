#include "standin/history.hpp"

#include <algorithm>

namespace bendspindle::standin {

namespace {

// Both final states are equally new.
int age_of(Told told) {
    return std::min(static_cast<int>(told), static_cast<int>(Told::done));
}

bool is_final(Told told) {
    return told == Told::done || told == Told::cancelled;
}

const char* name_of(Told told) {
    switch (told) {
        case Told::no_state:
            break;
        case Told::unknown:
            return "unknown";
        case Told::open:
            return "open";
        case Told::done:
            return "done";
        case Told::cancelled:
            return "cancelled";
    }
    return "nothing";
}

std::string line(const Answer& answer, const std::string& what) {
    return answer.job + ": controller " + std::to_string(answer.controller) + " told " +
           name_of(answer.told) + ", " + what;
}

std::string after(const Answer& before) {
    return std::string("after controller ") + std::to_string(before.controller) + " had told " +
           name_of(before.told);
}

}  // namespace

void History::add(Answer answer) {
    if (answer.told == Told::no_state) return;
    const std::lock_guard lock(mutex_);
    auto& job = jobs_[answer.job];
    job.answers.push_back(std::move(answer));
}

void History::asked_to_cancel(const std::string& job, Clock::time_point at) {
    const std::lock_guard lock(mutex_);
    jobs_[job].cancellations.push_back(at);
}

void History::check(const std::string& name, const Job& job, std::vector<std::string>& out) {
    auto by_begin = job.answers;
    std::sort(by_begin.begin(), by_begin.end(),
              [](const auto& a, const auto& b) { return a.begin < b.begin; });
    auto by_end = job.answers;
    std::sort(by_end.begin(), by_end.end(),
              [](const auto& a, const auto& b) { return a.end < b.end; });
    // The newest of what had ended before each began.
    const Answer* newest = nullptr;
    auto ended = by_end.begin();
    for (const auto& answer : by_begin) {
        for (; ended != by_end.end() && ended->end < answer.begin; ++ended)
            if (!newest || age_of(ended->told) > age_of(newest->told)) newest = &*ended;
        if (newest && age_of(answer.told) < age_of(newest->told))
            out.push_back(line(answer, after(*newest)));
    }
    const Answer* terminal_state = nullptr;
    for (const auto& answer : by_end) {
        if (!is_final(answer.told)) continue;
        if (!terminal_state) terminal_state = &answer;
        if (answer.told != terminal_state->told)
            out.push_back(line(answer, after(*terminal_state)));
        const bool asked = std::any_of(job.cancellations.begin(), job.cancellations.end(),
                                       [&](const auto& at) { return at <= answer.end; });
        if (answer.told == Told::cancelled && !asked)
            out.push_back(name + ": cancelled without its user's asking");
    }
}

std::vector<std::string> History::breaches() const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> out;
    for (const auto& [name, job] : jobs_) check(name, job, out);
    return out;
}

std::size_t History::overtaken() const {
    const std::lock_guard lock(mutex_);
    std::size_t out = 0;
    for (const auto& [name, job] : jobs_)
        for (const auto& a : job.answers)
            out += static_cast<std::size_t>(
                std::any_of(job.answers.begin(), job.answers.end(), [&](const auto& b) {
                    return b.end < a.end && b.end >= a.begin && age_of(a.told) < age_of(b.told);
                }));
    return out;
}

std::size_t History::size() const {
    const std::lock_guard lock(mutex_);
    std::size_t out = 0;
    for (const auto& [name, job] : jobs_) out += job.answers.size();
    return out;
}

std::size_t History::count(Told told) const {
    const std::lock_guard lock(mutex_);
    std::size_t out = 0;
    for (const auto& [name, job] : jobs_)
        out += static_cast<std::size_t>(
            std::count_if(job.answers.begin(), job.answers.end(),
                          [&](const auto& answer) { return answer.told == told; }));
    return out;
}

bool History::over(const std::string& job) const {
    const std::lock_guard lock(mutex_);
    const auto it = jobs_.find(job);
    return it != jobs_.end() && std::any_of(it->second.answers.begin(), it->second.answers.end(),
                                            [](const auto& a) { return is_final(a.told); });
}

}  // namespace bendspindle::standin
