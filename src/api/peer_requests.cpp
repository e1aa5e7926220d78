#include "api/peer_requests.hpp"

#include <cstdint>
#include <utility>

#include "wire/http_status.hpp"

namespace bendspindle::api {

PeerRequests::PeerRequests(PeerRequestHandlers handlers, leadership::Leadership& leadership,
                           leadership::Peers& peers,
                           leadership::CancellationReplication& replication,
                           state::LeaderState& leader_state)
    : handlers_(handlers),
      leadership_(leadership),
      peers_(peers),
      replication_(replication),
      leader_state_(leader_state) {}

wire::peer::Answer PeerRequests::handle(const wire::peer::Request& request) {
    peers_.record_incoming_call();
    auto response = dispatch(request);
    return {static_cast<std::uint16_t>(response.status),
            static_cast<std::uint16_t>(response.retry_after), leadership_.status().term,
            std::move(response.body)};
}

wire::Response PeerRequests::dispatch(const wire::peer::Request& request) {
    switch (request.op) {
        case wire::peer::Op::status:
            return handlers_.status.handle(request.id, agents::RequestOrigin::peer);
        case wire::peer::Op::cancel:
            return handlers_.cancellation.handle(request.id, agents::RequestOrigin::peer);
        case wire::peer::Op::heartbeat:
            return handlers_.heartbeats.handle(request.body, agents::RequestOrigin::peer);
        case wire::peer::Op::leader_announcement:
            return leader_announcement(request);
        case wire::peer::Op::cancellation_snapshot:
            return cancellation_snapshot(request.id);
        case wire::peer::Op::cancelled:
            return replication_.record_cancellation(request.id, request.term);
    }
    return {};
}

wire::Response PeerRequests::leader_announcement(const wire::peer::Request& request) {
    if (request.term >= leadership_.status().term) handlers_.health.record_leader_announcement();
    leadership_.learn_leader(request.term, request.id);
    return {wire::http_status::ok, 0, {}};
}

wire::Response PeerRequests::cancellation_snapshot(const std::string& peer) {
    if (!leadership_.status().leading) return replication_.follower_snapshot();
    const auto access = leader_state_.lock();
    if (access.controller() == nullptr) return {wire::http_status::service_unavailable, 0, {}};
    return replication_.leader_snapshot(peer, leadership::cancelled_jobs(*access.controller()));
}

}  // namespace bendspindle::api
