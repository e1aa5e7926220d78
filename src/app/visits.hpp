// Workers and the way to the acting controller. Pure: the time is passed in.
//
//  - `Visits`, at a controller that does not act: whether a worker that reports here is sent to the
//    one that does, or its report is handed on.
//  - `Reach`, at the one that acts: whether workers reach it themselves, or only their siblings.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/types.hpp"

namespace bendspindle::app {

class Visits {
  public:
    explicit Visits(core::Seconds report) : report_(report) {}
    // `knows_steward`: it shows the present token, so it has been in touch with who acts and comes
    // here all the same.
    bool send_there(const std::string& worker, bool knows_steward, core::TimePoint now);

  private:
    struct Visit {
        core::TimePoint since{};
        core::TimePoint last{};
        std::optional<core::TimePoint> sent;
    };
    const core::Seconds report_;
    std::unordered_map<std::string, Visit> visits_;
};

class Reach {
  public:
    explicit Reach(core::Seconds report) : report_(report) {}
    void begin(core::TimePoint now);
    void heard(const std::string& worker, bool by_sibling, core::TimePoint now);
    // Workers reached it before, and now they reach siblings only: another would serve them better.
    bool lost(core::TimePoint now) const;

  private:
    const core::Seconds report_;
    bool direct_ = false;  // any came by itself since it acts
    core::TimePoint last_direct_{};
    std::set<std::string> by_sibling_;  // since the last that came by itself
};

}  // namespace bendspindle::app
