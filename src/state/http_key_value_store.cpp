#include "state/http_key_value_store.hpp"

#include "wire/http_status.hpp"

namespace bendspindle::state {

namespace {

constexpr std::chrono::milliseconds request_timeout{1500};
// Records are a few hundred bytes and a response holds up to 512 KiB. With pages of 100, a failover
// with 2,000 machines took 25 consecutive calls.
constexpr unsigned max_entries_per_page = 400;

void report_malformed(const char* call) {
    io::log_malformed_response("state_service", call);
}

}  // namespace

HttpKeyValueStore::HttpKeyValueStore(io::Endpoint endpoint)
    : client_(std::move(endpoint), request_timeout) {}

StoreStatus HttpKeyValueStore::status_of(const std::optional<io::HttpResponse>& answer) {
    if (!answer) return StoreStatus::unknown;
    switch (answer->status) {
        case wire::http_status::ok:
            last_success_ = Clock::now();
            return StoreStatus::ok;
        case wire::http_status::not_found:
            last_success_ = Clock::now();
            return StoreStatus::absent;
        case wire::http_status::conflict:
            last_success_ = Clock::now();
            return StoreStatus::conflict;
        case wire::http_status::bad_request:
            return StoreStatus::invalid;
        case wire::http_status::gone:
            return StoreStatus::too_old;
        case wire::http_status::too_many_requests:
        case wire::http_status::service_unavailable:
            return StoreStatus::refused;
        default:
            return StoreStatus::unknown;
    }
}

ReadResult HttpKeyValueStore::get(const std::string& key) {
    const auto answer = client_.get(wire::path::key(key));
    ReadResult out{status_of(answer), {}};
    if (out.outcome != StoreStatus::ok) return out;
    auto entry = wire::parse_entry(answer->body);
    if (!entry) {
        report_malformed("get");
        return {};
    }
    out.entry = std::move(*entry);
    return out;
}

ListResult HttpKeyValueStore::list(const std::string& prefix) {
    ListResult out;
    std::string after;
    for (;;) {
        const auto answer = client_.get(wire::path::range(prefix, after, max_entries_per_page));
        out.outcome = status_of(answer);
        if (out.outcome != StoreStatus::ok) return out;
        auto entries = wire::parse_entries(answer->body);
        if (!entries) {
            report_malformed("list");
            out.outcome = StoreStatus::unknown;
            return out;
        }
        // A watch starts at the first page's revision, so it also reports what changed between two
        // pages.
        if (after.empty()) out.revision = entries->revision;
        for (auto& entry : entries->entries) out.entries.push_back(std::move(entry));
        if (!entries->more || entries->entries.empty()) return out;
        after = out.entries.back().key;
    }
}

ListResult HttpKeyValueStore::watch(const std::string& prefix, std::uint64_t since,
                                    std::chrono::milliseconds wait) {
    const auto answer = client_.get(wire::path::watch(prefix, since, wait), wait);
    ListResult out;
    out.outcome = status_of(answer);
    if (out.outcome != StoreStatus::ok) return out;
    auto events = wire::parse_events(answer->body);
    if (!events) {
        report_malformed("watch");
        out.outcome = StoreStatus::unknown;
        return out;
    }
    out.entries = std::move(events->entries);
    out.revision = events->revision;
    return out;
}

CasResult HttpKeyValueStore::compare_and_swap(const std::vector<wire::Condition>& conditions,
                                              const std::vector<wire::Operation>& operations) {
    const auto answer = client_.post(wire::path::compare_and_swap,
                                     wire::compare_and_swap_body(conditions, operations));
    CasResult out;
    out.outcome = status_of(answer);
    if (out.outcome != StoreStatus::ok && out.outcome != StoreStatus::conflict) return out;
    const auto parsed = wire::parse_compare_and_swap(answer->body);
    if (!parsed) {
        report_malformed("compare_and_swap");
        out.outcome = StoreStatus::unknown;
        return out;
    }
    out.revision = parsed->revision;
    out.failed = parsed->failed;
    return out;
}

std::optional<std::uint64_t> HttpKeyValueStore::grant_lease(std::chrono::milliseconds ttl) {
    const auto answer = client_.post(wire::path::leases, wire::lease_body(ttl));
    if (status_of(answer) != StoreStatus::ok) return std::nullopt;
    const auto lease = wire::parse_lease(answer->body);
    if (!lease) report_malformed("grant_lease");
    return lease;
}

StoreStatus HttpKeyValueStore::keep_alive(std::uint64_t lease) {
    return status_of(
        client_.post(wire::path::keep_alive(lease), wire::to_cbor(wire::Value::object())));
}

StoreStatus HttpKeyValueStore::revoke_lease(std::uint64_t lease) {
    return status_of(client_.erase(wire::path::lease(lease)));
}

}  // namespace bendspindle::state
