/// The other controllers: calls to them, with a circuit breaker for user and agent requests, and
/// when one was last in contact.
///
/// Used by request threads and by the daemon's announcing thread. How a call goes out is passed in:
/// sockets (peer_sockets.hpp) or a simulation.
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

/// Safe from any thread; calls block until the peer answers or the link's time limit is over.
class Peers {
  public:
    /// Calls one peer by its name; none: no answer, the peer may have handled the request all the
    /// same.
    using Link = std::function<std::optional<wire::peer::Answer>(const std::string& name,
                                                                 const wire::peer::Request&)>;

    /// `names`: of the other controllers, in the order in which they are called.
    Peers(std::vector<std::string> names, Link link, io::ClockFunction clock = io::steady_clock());

    /// The peers, in order.
    [[nodiscard]] const std::vector<std::string>& names() const { return names_; }
    /// Whether a controller of this name is a peer.
    [[nodiscard]] bool knows(const std::string& name) const;

    /// Calls a peer, whatever its circuit breaker says; none: no answer.
    std::optional<wire::peer::Answer> call(const std::string& name,
                                           const wire::peer::Request& request);

    /// The same, but without a call while the peer's circuit breaker is open. Without the breaker
    /// all threads waited for a peer that had stalled: each poll for 1.5 s, while connections piled
    /// up until no socket was left.
    std::optional<wire::peer::Answer> call_unless_unavailable(const std::string& name,
                                                              const wire::peer::Request& request);

    /// A peer has called this controller.
    void was_called() { last_contact_ = clock_(); }
    /// When a peer last answered a call or made one; the epoch of the clock if none ever did.
    [[nodiscard]] core::TimePoint last_contact() const { return last_contact_.load(); }

  private:
    bool unavailable(const std::string& name);
    void record_failure(const std::string& name);

    const std::vector<std::string> names_;
    const Link link_;
    const io::ClockFunction clock_;
    std::atomic<core::TimePoint> last_contact_{core::TimePoint{}};
    std::mutex breaker_mutex_;  // guards `breaker_`; held across no call
    CircuitBreaker breaker_;
};

/// Forwards a user's or agent's request to the leader; none if no leader is known, or it does not
/// answer, or its circuit breaker is open.
std::optional<wire::Response> forward_to_leader(wire::peer::Op op, const std::string& id,
                                                const std::string& body, Leadership& leadership,
                                                Peers& peers);

}  // namespace bendspindle::leadership
