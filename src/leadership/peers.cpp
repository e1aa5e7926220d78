#include "leadership/peers.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "io/peer_link.hpp"

namespace bendspindle::leadership {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds call_limit{1500};
// A peer that did not answer is not tried again for this long.
constexpr milliseconds rest_after_failure{1000};

}  // namespace

Peers::Peers(std::vector<std::string> names, Link link, io::ClockFunction clock)
    : names_(std::move(names)), link_(std::move(link)), clock_(std::move(clock)) {}

bool Peers::knows(const std::string& name) const {
    return std::find(names_.begin(), names_.end(), name) != names_.end();
}

std::optional<wire::peer::Answer> Peers::call(const std::string& name,
                                              const wire::peer::Request& request) {
    auto answer = link_(name, request);
    if (answer) last_contact_ = clock_();
    return answer;
}

std::optional<wire::peer::Answer> Peers::call_unless_resting(const std::string& name,
                                                             const wire::peer::Request& request) {
    if (resting(name)) return std::nullopt;
    auto answer = call(name, request);
    if (!answer) rest(name);
    return answer;
}

bool Peers::resting(const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto until = resting_until_.find(name);
    return until != resting_until_.end() && clock_() < until->second;
}

void Peers::rest(const std::string& name) {
    const std::lock_guard lock(mutex_);
    resting_until_[name] = clock_() + rest_after_failure;
}

std::optional<wire::Response> forward_to_leader(wire::peer::Op op, const std::string& id,
                                                const std::string& body, Leadership& leadership,
                                                Peers& peers) {
    const auto status = leadership.status();
    if (!peers.knows(status.leader)) return std::nullopt;
    const auto answer = peers.call_unless_resting(status.leader, {op, status.term, id, body});
    if (!answer) return std::nullopt;
    if (answer->term > status.term) leadership.observe_newer_term(answer->term);
    return wire::Response{answer->status, answer->retry_after, answer->body};
}

std::vector<std::string> peer_names(const config::Settings& settings) {
    std::vector<std::string> out;
    for (const auto& peer : settings.peers) out.push_back(peer.name);
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

Peers::Link socket_link(const config::Settings& settings) {
    using Clients = std::map<std::string, io::PeerClient>;
    const auto clients = std::make_shared<Clients>();
    for (const auto& peer : settings.peers)
        clients->try_emplace(peer.name, peer.endpoint, call_limit);
    return [clients](const std::string& name, const wire::peer::Request& request) {
        return clients->at(name).call(request);
    };
}

}  // namespace bendspindle::leadership
