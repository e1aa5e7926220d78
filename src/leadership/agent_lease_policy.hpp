// Whether this controller may renew the leases of workers, and what its answers stop. Pure: the
// time is passed in.
//
// A confirmed cancellation starts a clock that no outage stops. Whoever lives or not, the worker's
// own lease ends what nobody could stop, `lease_s` after it was last renewed. So a lease is renewed
// only by who knows all confirmed cancellations and orders the stops in the same answer, or for a
// bounded time after it last knew them (docs/troubles.md, "What a confirmed cancellation needs").
//
//  - `LeadershipProof`, at the controller that acts: that no other one has confirmed anything,
//  after its
//    own lease in the state service is no longer valid; and which peers know what it confirms.
//  - `CancellationReplica`, at one that does not: what is cancelled, by the word of the one that
//  acts or, with
//    that one lost, by the words of a majority.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/types.hpp"
#include "wire/peer.hpp"

namespace bendspindle::leadership {

// How long after it last knew all confirmed cancellations a controller may renew leases.
core::Seconds renewal_bound(const core::AgentTimings& workers);

// Of so many controllers, this one included: peers that make a majority with this one.
inline std::size_t peers_of_a_majority(std::size_t controllers) {
    return controllers / 2;
}
// Siblings, besides the one that acts, of which any majority among the others has a member.
inline std::size_t peers_in_every_majority(std::size_t controllers) {
    return controllers - controllers / 2 - 1;
}

class LeadershipProof {
  public:
    // `controllers`: as the settings name them, this one included.
    LeadershipProof(const core::AgentTimings& workers, std::size_t controllers)
        : bound_(renewal_bound(workers)), controllers_(controllers) {}
    // It has taken the role.
    void begin(core::TimePoint now);
    // A peer that was asked at `asked` knows the view and none after this controller's term.
    void vouched(const std::string& peer, core::TimePoint asked);
    // A peer has answered that it knows of this controller's term.
    void acknowledged(const std::string& peer) { acknowledged_.insert(peer); }
    // Whether a former controller can no longer find a majority that vouches for it.
    bool known_to_enough() const;
    // A peer may have been told a word by this controller at `now`.
    void gave_word(const std::string& peer, core::TimePoint now) { words_[peer] = now; }
    // Whether a cancellation that these peers know of may be confirmed: no majority without this
    // controller lacks it, or whoever does has had no word for so long that it renews nothing.
    bool may_confirm(const std::set<std::string>& told, const std::set<std::string>& peers,
                     core::TimePoint now) const;
    // Until when nobody else can have acted, as far as is known. `lease_end`: of its own lease.
    core::TimePoint sole_until(core::TimePoint lease_end, core::TimePoint now) const;
    bool may_renew(core::TimePoint lease_end, core::TimePoint now) const;

  private:
    const core::Seconds bound_;
    const std::size_t controllers_;
    core::TimePoint began_{};
    std::map<std::string, core::TimePoint> vouchers_;
    std::set<std::string> acknowledged_;
    std::map<std::string, core::TimePoint> words_;
};

class CancellationReplica {
  public:
    CancellationReplica(const core::AgentTimings& workers, std::size_t controllers)
        : bound_(renewal_bound(workers)),
          memory_(workers.cancel * 2),
          needed_memory_(workers.cancel),
          controllers_(controllers) {}
    // From now on it knows the view, and remembers what it is told. Later calls change nothing.
    void begin(core::TimePoint now);
    // The acting controller is about to confirm a cancellation; or this one is, which acts.
    void cancelled(const std::string& job, core::TimePoint now);
    // The acting controller's answer to a question sent at `asked`.
    void told(const wire::peer::CancellationSnapshot& word, core::TimePoint asked);
    // The answer of a peer that knows of the same term and none after it.
    void answered(const std::string& peer, const wire::peer::CancellationSnapshot& word,
                  core::TimePoint asked);
    // What it would answer itself, as one that does not act.
    wire::peer::CancellationSnapshot word(core::TimePoint now) const;
    bool may_renew(core::TimePoint now) const;
    // Stops for what runs of cancelled jobs.
    std::vector<core::TaskCommand> stops(const core::Heartbeat& heartbeat,
                                         core::TimePoint now) const;

  private:
    using Jobs = std::map<std::string, core::TimePoint>;  // with when they are forgotten

    bool remembers_enough(core::Seconds memory) const { return memory >= needed_memory_; }

    const core::Seconds bound_;
    const core::Seconds memory_;
    const core::Seconds needed_memory_;  // what was cancelled before must be gone by now
    const std::size_t controllers_;
    std::optional<core::TimePoint> began_;
    std::optional<core::TimePoint> complete_until_;  // all that was confirmed up to then is known
    std::map<std::string, core::TimePoint> answers_;
    Jobs told_;
    Jobs gathered_;  // of peers' memory: not told on, or it would go round for ever
};

}  // namespace bendspindle::leadership
