// Field names on the wire and the corresponding terms in the code:
//   path, v          key, value                   stamp           mod_revision of a key
//   ledger_tick      revision of the store        loan            lease
//   pairs, events    entries                      truncated       more pages follow
//   if, apply        conditions and operations of a compare-and-swap (path /txn)
//   failed           keys whose conditions did not hold
//   life_ms          time to live of a lease      touch (path)    keep a lease alive
//   starts, since    prefix; key (in a watch: revision) to start after
#include "wire/key_value_store.hpp"

#include <utility>

#include "wire/fields.hpp"

namespace bendspindle::wire {

namespace path {

std::string key(const std::string& key) {
    return "/kv/" + key;
}

std::string range(const std::string& prefix, const std::string& after, unsigned limit) {
    auto out = "/kv?starts=" + prefix;
    if (!after.empty()) out += "&since=" + after;
    return out + "&page=" + std::to_string(limit);
}

std::string watch(const std::string& prefix, std::uint64_t since, std::chrono::milliseconds wait) {
    return "/watch?starts=" + prefix + "&since=" + std::to_string(since) +
           "&wait_ms=" + std::to_string(wait.count());
}

std::string lease(std::uint64_t lease) {
    return "/leases/" + std::to_string(lease);
}

std::string keep_alive(std::uint64_t id) {
    return lease(id) + "/touch";
}

}  // namespace path

namespace {

// Reads an entry; `key_field` is the name of the field that holds its key.
Entry read_entry(const Fields& fields, const char* key_field) {
    return {fields.text(key_field), fields.value("v"), fields.count("stamp")};
}

}  // namespace

std::optional<Entry> parse_entry(std::string_view body) {
    return parse_fields(body, [](const Fields& fields) {
        auto entry = read_entry(fields, "path");
        if (fields.has("loan")) entry.lease = fields.count("loan");
        return entry;
    });
}

std::optional<Entries> parse_entries(std::string_view body) {
    return parse_fields(body, [](const Fields& fields) {
        Entries out;
        for (const auto& pair : fields.maps("pairs"))
            out.entries.push_back(read_entry(pair, "path"));
        out.more = fields.flag("truncated");
        out.revision = fields.count("ledger_tick");
        return out;
    });
}

std::optional<Entries> parse_events(std::string_view body) {
    return parse_fields(body, [](const Fields& fields) {
        Entries out;
        for (const auto& event : fields.maps("events"))
            if (event.contains("put")) out.entries.push_back(read_entry(event, "put"));
        out.revision = fields.count("ledger_tick");
        return out;
    });
}

std::string compare_and_swap_body(const std::vector<Condition>& conditions,
                                  const std::vector<Operation>& operations) {
    Value when = Value::array();
    for (const auto& condition : conditions)
        when.push_back({{"path", condition.key}, {"stamp", condition.mod_revision}});
    Value apply = Value::array();
    for (const auto& operation : operations) {
        if (!operation.put) {
            apply.push_back({{"delete", operation.key}});
            continue;
        }
        Value put{{"put", operation.key}, {"v", *operation.put}};
        if (operation.lease) put["loan"] = *operation.lease;
        apply.push_back(std::move(put));
    }
    return to_cbor(Value{{"if", std::move(when)}, {"apply", std::move(apply)}});
}

std::optional<CasResponse> parse_compare_and_swap(std::string_view body) {
    return parse_fields(body, [](const Fields& fields) {
        CasResponse out;
        out.revision = fields.count("ledger_tick");
        if (fields.has("failed")) out.failed = fields.texts("failed");
        return out;
    });
}

std::string lease_body(std::chrono::milliseconds time_to_live) {
    return to_cbor(Value{{"life_ms", time_to_live.count()}});
}

std::optional<std::uint64_t> parse_lease(std::string_view body) {
    return parse_fields(body, [](const Fields& fields) { return fields.count("loan"); });
}

}  // namespace bendspindle::wire
