#include "leadership/peers.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bendspindle::leadership {

namespace {

// Time for which a peer that did not respond is not called on behalf of users and agents.
constexpr std::chrono::milliseconds breaker_open_duration{1000};

}  // namespace

Peers::Peers(std::vector<std::string> names, Link link, io::ClockFunction clock)
    : names_(std::move(names)),
      link_(std::move(link)),
      clock_(std::move(clock)),
      breaker_(breaker_open_duration) {}

bool Peers::contains(const std::string& name) const {
    return std::find(names_.begin(), names_.end(), name) != names_.end();
}

std::optional<wire::peer::Answer> Peers::call(const std::string& name,
                                              const wire::peer::Request& request) {
    auto answer = link_(name, request);
    if (answer) last_contact_ = clock_();
    return answer;
}

std::optional<wire::peer::Answer> Peers::call_unless_unavailable(
    const std::string& name, const wire::peer::Request& request) {
    if (unavailable(name)) return std::nullopt;
    auto answer = call(name, request);
    if (!answer) record_failure(name);
    return answer;
}

bool Peers::unavailable(const std::string& name) {
    const std::lock_guard lock(breaker_mutex_);
    return breaker_.is_open(name, clock_());
}

void Peers::record_failure(const std::string& name) {
    const std::lock_guard lock(breaker_mutex_);
    breaker_.record_failure(name, clock_());
}

std::optional<wire::Response> forward_to_leader(wire::peer::Op op, const std::string& id,
                                                const std::string& body, Leadership& leadership,
                                                Peers& peers) {
    const auto status = leadership.status();
    if (!peers.contains(status.leader)) return std::nullopt;
    const auto answer = peers.call_unless_unavailable(status.leader, {op, status.term, id, body});
    if (!answer) return std::nullopt;
    if (answer->term > status.term) leadership.observe_newer_term(answer->term);
    return wire::Response{answer->status, answer->retry_after, answer->body};
}

}  // namespace bendspindle::leadership
