#include "app/state_store.hpp"

namespace bendspindle::app {

namespace {

constexpr std::chrono::milliseconds call_limit{1500};
// Records are a few hundred bytes, an answer holds up to 512 KiB. A takeover of 2,000 machines took
// 25 calls one after the other with pages of 100.
constexpr unsigned page = 400;

}  // namespace

HttpStateStore::HttpStateStore(io::Endpoint endpoint) : client_(std::move(endpoint), call_limit) {}

Outcome HttpStateStore::outcome_of(const std::optional<io::HttpAnswer>& answer) {
    if (!answer) return Outcome::unknown;
    switch (answer->status) {
        case 200:
            last_ok_ = Clock::now();
            return Outcome::ok;
        case 404:
            last_ok_ = Clock::now();
            return Outcome::absent;
        case 409:
            last_ok_ = Clock::now();
            return Outcome::conflict;
        case 400:
            return Outcome::invalid;
        case 410:
            return Outcome::too_old;
        case 429:
        case 503:
            return Outcome::refused;
        default:
            return Outcome::unknown;
    }
}

Read HttpStateStore::get(const std::string& key) {
    const auto answer = client_.get(wire::path::key(key));
    Read out{outcome_of(answer), {}};
    if (out.outcome != Outcome::ok) return out;
    auto entry = wire::parse_entry(answer->body);
    if (!entry) return {};
    out.entry = std::move(*entry);
    return out;
}

Listing HttpStateStore::list(const std::string& prefix) {
    Listing out;
    std::string after;
    for (;;) {
        const auto answer = client_.get(wire::path::range(prefix, after, page));
        out.outcome = outcome_of(answer);
        if (out.outcome != Outcome::ok) return out;
        auto entries = wire::parse_entries(answer->body);
        if (!entries) {
            out.outcome = Outcome::unknown;
            return out;
        }
        // What changes between two pages is watched from the first page on.
        if (after.empty()) out.revision = entries->revision;
        for (auto& entry : entries->entries) out.entries.push_back(std::move(entry));
        if (!entries->more || entries->entries.empty()) return out;
        after = out.entries.back().key;
    }
}

Listing HttpStateStore::watch(const std::string& prefix, std::uint64_t since,
                              std::chrono::milliseconds wait) {
    const auto answer = client_.get(wire::path::watch(prefix, since, wait), wait);
    Listing out;
    out.outcome = outcome_of(answer);
    if (out.outcome != Outcome::ok) return out;
    auto events = wire::parse_events(answer->body);
    if (!events) {
        out.outcome = Outcome::unknown;
        return out;
    }
    out.entries = std::move(events->entries);
    out.revision = events->revision;
    return out;
}

Txn HttpStateStore::transact(const std::vector<wire::Condition>& conditions,
                             const std::vector<wire::Operation>& operations) {
    const auto answer = client_.post(wire::path::txn, wire::txn_body(conditions, operations));
    Txn out;
    out.outcome = outcome_of(answer);
    if (out.outcome != Outcome::ok && out.outcome != Outcome::conflict) return out;
    const auto parsed = wire::parse_txn(answer->body);
    if (!parsed) {
        out.outcome = Outcome::unknown;
        return out;
    }
    out.revision = parsed->revision;
    out.failed = parsed->failed;
    return out;
}

std::optional<std::uint64_t> HttpStateStore::grant(std::chrono::milliseconds life) {
    const auto answer = client_.post(wire::path::leases, wire::lease_body(life));
    if (outcome_of(answer) != Outcome::ok) return std::nullopt;
    return wire::parse_lease(answer->body);
}

Outcome HttpStateStore::touch(std::uint64_t lease) {
    return outcome_of(client_.post(wire::path::touch(lease), wire::to_cbor(wire::Value::object())));
}

Outcome HttpStateStore::revoke(std::uint64_t lease) {
    return outcome_of(client_.erase(wire::path::lease(lease)));
}

}  // namespace bendspindle::app
