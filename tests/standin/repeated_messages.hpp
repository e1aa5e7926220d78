// Messages that arrive once more after they were answered, at drawn times from a fixed seed.
#pragma once

#include <map>
#include <random>
#include <vector>

namespace bendspindle::standin {

template <typename Message>
class RepeatedMessages {
  public:
    // A copy arrives `min_delay_s` to `max_delay_s` after the message.
    RepeatedMessages(unsigned seed, double min_delay_s, double max_delay_s)
        : engine_(seed), min_delay_s_(min_delay_s), max_delay_s_(max_delay_s) {}

    void add(Message message, double now) {
        // The engine's own numbers: distributions differ between standard libraries.
        const auto share = engine_() / 4294967296.0;
        const auto delay_s = min_delay_s_ + (max_delay_s_ - min_delay_s_) * share;
        copies_.emplace(now + delay_s, std::move(message));
    }
    void add_one_in(unsigned count, Message message, double now) {
        if (engine_() % count == 0) add(std::move(message), now);
    }
    // Takes out the copies that have arrived by now.
    std::vector<Message> due(double now) {
        std::vector<Message> out;
        while (!copies_.empty() && copies_.begin()->first <= now)
            out.push_back(std::move(copies_.extract(copies_.begin()).mapped()));
        return out;
    }

  private:
    std::mt19937 engine_;
    const double min_delay_s_;
    const double max_delay_s_;
    std::multimap<double, Message> copies_;
};

}  // namespace bendspindle::standin
