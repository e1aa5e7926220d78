// Whether this controller may renew the leases of workers, and what its answers stop. Pure: the
// time is passed in.
//
// A confirmed cancellation starts a clock that no outage stops. Whoever lives or not, the worker's
// own lease ends what nobody could stop, `lease_s` after it was last renewed. So a lease is renewed
// only by who knows all confirmed cancellations and orders the stops in the same answer, or for a
// bounded time after it last knew them (docs/troubles.md, "What a confirmed cancellation needs").
//
//  - `RoleProof`, at the controller that acts: that no other one has confirmed anything, after its
//    own lease in the state service is no longer valid.
//  - `LastWord`, at one that does not: what the acting controller last said is cancelled.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/types.hpp"
#include "wire/peer.hpp"

namespace bendspindle::app {

// How long after it last knew all confirmed cancellations a controller may renew leases.
core::Seconds renewal_bound(const core::WorkerTimes& workers);

class RoleProof {
  public:
    // `controllers`: as the settings name them, this one included.
    RoleProof(const core::WorkerTimes& workers, std::size_t controllers)
        : bound_(renewal_bound(workers)), controllers_(controllers) {}
    // It has taken the role.
    void begin();
    // A sibling that was asked at `asked` knows the view and none after this controller's epoch.
    void vouched(const std::string& sibling, core::TimePoint asked);
    // A sibling has answered that it knows of this controller's epoch.
    void acknowledged(const std::string& sibling) { acknowledged_.insert(sibling); }
    // Whether a former controller can no longer find a majority that vouches for it.
    bool known_to_enough() const;
    // Until when nobody else can have acted, as far as is known. `lease_end`: of its own lease.
    core::TimePoint sole_until(core::TimePoint lease_end, core::TimePoint now) const;
    bool may_renew(core::TimePoint lease_end, core::TimePoint now) const;

  private:
    const core::Seconds bound_;
    const std::size_t controllers_;
    std::map<std::string, core::TimePoint> vouchers_;
    std::set<std::string> acknowledged_;
};

class LastWord {
  public:
    explicit LastWord(const core::WorkerTimes& workers)
        : bound_(renewal_bound(workers)), memory_(workers.cancel * 2) {}
    // The acting controller's answer to a question sent at `asked`.
    void told(const wire::peer::Word& word, core::TimePoint asked);
    bool may_renew(core::TimePoint now) const;
    // Stops for what runs of cancelled jobs.
    std::vector<core::Order> stops(const core::Report& report, core::TimePoint now) const;

  private:
    const core::Seconds bound_;
    const core::Seconds memory_;
    std::optional<core::TimePoint> complete_until_;  // all that was confirmed up to then is known
    std::map<std::string, core::TimePoint> cancelled_;  // with when they are forgotten
};

}  // namespace bendspindle::app
