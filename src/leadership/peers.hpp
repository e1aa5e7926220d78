// The other controllers: calls to them, a rest for one that did not answer, and when one was last
// heard. How a call goes out is passed in (sockets, or a simulation).
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "io/clock.hpp"
#include "leadership/leadership.hpp"
#include "wire/peer.hpp"
#include "wire/response.hpp"

namespace bendspindle::leadership {

class Peers {
  public:
    // Calls one peer by its name; none: no answer, the peer may have acted all the same.
    using Link = std::function<std::optional<wire::peer::Answer>(const std::string& name,
                                                                 const wire::peer::Request&)>;

    Peers(std::vector<std::string> names, Link link, io::ClockFunction clock = io::steady_clock());

    // In order.
    const std::vector<std::string>& names() const { return names_; }
    bool knows(const std::string& name) const;
    std::optional<wire::peer::Answer> call(const std::string& name,
                                           const wire::peer::Request& request);
    // The same, but a peer that has just failed to answer such a call is not called for a while.
    // Guard against all threads waiting for one that stands still: each poll did, for 1.5 s, while
    // connections piled up until no socket was left.
    std::optional<wire::peer::Answer> call_unless_resting(const std::string& name,
                                                          const wire::peer::Request& request);
    // A peer has called.
    void was_called() { last_contact_ = clock_(); }
    // When a peer was last heard, by its answer or its call.
    core::TimePoint last_contact() const { return last_contact_.load(); }

  private:
    bool resting(const std::string& name);
    void rest(const std::string& name);

    const std::vector<std::string> names_;
    const Link link_;
    const io::ClockFunction clock_;
    std::atomic<core::TimePoint> last_contact_{core::TimePoint{}};
    std::mutex mutex_;
    std::map<std::string, core::TimePoint> resting_until_;
};

// A user's or worker's request handed on to the leader, if it is known and answers.
std::optional<wire::Response> forward_to_leader(wire::peer::Op op, const std::string& id,
                                                const std::string& body, Leadership& leadership,
                                                Peers& peers);

// The names of the peers in the settings, in order.
std::vector<std::string> peer_names(const config::Settings& settings);
// Calls over sockets, to the addresses in the settings.
Peers::Link socket_link(const config::Settings& settings);

}  // namespace bendspindle::leadership
