/// Client for the other controllers. It has a circuit breaker for requests of users and agents, and
/// records when a peer was last in contact.
///
/// Request threads and the daemon's announcing thread use it. The transport is injected: sockets
/// (peer_sockets.hpp) or a simulation.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "io/clock.hpp"
#include "leadership/circuit_breaker.hpp"
#include "leadership/leadership.hpp"
#include "wire/peer.hpp"
#include "wire/response.hpp"

namespace bendspindle::leadership {

/// Peer client. Thread-safe; calls block until the peer responds or the transport times out.
class Peers {
  public:
    /// Transport: calls one peer by its name. Returns nothing if there was no response, in which
    /// case the peer may still have handled the request.
    using Link = std::function<std::optional<wire::peer::Answer>(const std::string& name,
                                                                 const wire::peer::Request&)>;

    /// `names`: names of the other controllers, in the order in which they are called.
    Peers(std::vector<std::string> names, Link link, io::ClockFunction clock = io::steady_clock());

    /// Returns the names of the peers in the order in which they are called.
    [[nodiscard]] const std::vector<std::string>& names() const { return names_; }
    /// Returns whether a controller with this name is a peer.
    [[nodiscard]] bool contains(const std::string& name) const;

    /// Calls a peer regardless of its circuit breaker. Returns nothing if there was no response.
    std::optional<wire::peer::Answer> call(const std::string& name,
                                           const wire::peer::Request& request);

    /// Calls a peer unless its circuit breaker is open. Returns nothing if the breaker is open or
    /// there was no response. Without the breaker, all threads waited for a stalled peer: each poll
    /// took 1.5 s, and connections accumulated until no sockets were left.
    std::optional<wire::peer::Answer> call_unless_unavailable(const std::string& name,
                                                              const wire::peer::Request& request);

    /// Records that a peer has called this controller.
    void record_incoming_call() { last_contact_ = clock_(); }
    /// Returns when a peer last responded to a call or made one, or the clock's epoch if there was
    /// no contact yet.
    [[nodiscard]] core::TimePoint last_contact() const { return last_contact_.load(); }

  private:
    bool unavailable(const std::string& name);
    void record_failure(const std::string& name);

    const std::vector<std::string> names_;
    const Link link_;
    const io::ClockFunction clock_;
    std::atomic<core::TimePoint> last_contact_{core::TimePoint{}};
    std::mutex breaker_mutex_;  // guards `breaker_`; never held during a call
    CircuitBreaker breaker_;
};

/// Forwards the request of a user or agent to the leader. Returns nothing if no leader is known,
/// the leader does not respond, or its circuit breaker is open.
std::optional<wire::Response> forward_to_leader(wire::peer::Op op, const std::string& id,
                                                const std::string& body, Leadership& leadership,
                                                Peers& peers);

}  // namespace bendspindle::leadership
