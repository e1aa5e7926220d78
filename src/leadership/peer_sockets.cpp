#include "leadership/peer_sockets.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>

#include "io/peer_link.hpp"

namespace bendspindle::leadership {

namespace {

constexpr std::chrono::milliseconds call_timeout{1500};

}  // namespace

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
        clients->try_emplace(peer.name, peer.endpoint, call_timeout);
    return [clients](const std::string& name, const wire::peer::Request& request) {
        return clients->at(name).call(request);
    };
}

}  // namespace bendspindle::leadership
