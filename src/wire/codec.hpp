// CBOR codecs of users, workers, cloud and state service. The wire's own words stay in here.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/controller.hpp"
#include "core/types.hpp"

namespace bendspindle::wire {

using Value = nlohmann::json;

constexpr std::size_t most_body = 64 * 1024;

// Parses CBOR with a bound on nesting; nullopt for anything malformed or cut off.
std::optional<Value> parse_cbor(std::string_view body);
std::string to_cbor(const Value& value);

// Paths of the protocols.
namespace path {
inline constexpr const char* work = "/work";
inline constexpr const char* health = "/healthz";
inline constexpr const char* report = "/checkin";
inline constexpr const char* direct_orders = "/orders";
inline constexpr const char* inspect = "/inspect";
inline constexpr const char* catalog = "/catalog";
inline constexpr const char* machines = "/machines";
inline constexpr const char* release = "/machines/release";
inline constexpr const char* txn = "/txn";
inline constexpr const char* leases = "/leases";
std::string key(const std::string& key);
std::string range(const std::string& prefix, const std::string& after, unsigned limit);
std::string watch(const std::string& prefix, std::uint64_t since, std::chrono::milliseconds wait);
std::string lease(std::uint64_t lease);
std::string touch(std::uint64_t lease);
std::string list(const std::string& after, unsigned limit);
}  // namespace path

// Users.
bool valid_job_id(std::string_view id);
// The job, or the reason why the request is malformed.
struct ParsedJob {
    std::optional<core::JobSpec> job;
    std::string error;
};
ParsedJob parse_job(std::string_view body);
std::string job_body(const core::JobSpec& spec);
std::string status_body(const std::string& id, const core::JobStatus& status, bool with_counts);
// The final state that such a body tells, if it tells one.
std::optional<core::Final> final_in_status(std::string_view body);
std::string error_body(const std::string& why);

// Workers.
std::optional<core::Report> parse_report(std::string_view body);
std::string report_body(const core::Report& report);
// `session` stands only in direct calls.
std::string direct_body(const core::DirectCall& call);
std::string orders_body(std::uint64_t token, const std::vector<core::Order>& orders);
std::string redirect_body(const std::string& node);

// Cloud.
std::optional<std::vector<core::MachineType>> parse_catalog(std::string_view body);
std::string rent_body(const core::RentRequest& request);
std::optional<std::vector<std::string>> parse_rented(std::string_view body);
std::string release_body(const std::vector<std::string>& names);
struct MachineList {
    std::vector<core::ListedMachine> machines;
    bool more = false;
};
std::optional<MachineList> parse_list(std::string_view body);

// State service.
struct Entry {
    std::string key;
    Value value;
    std::uint64_t stamp = 0;
    std::uint64_t lease = 0;  // what the key is attached to, if it was read by itself; 0: nothing
};
struct Entries {
    std::vector<Entry> entries;
    bool more = false;
    std::uint64_t revision = 0;
};
struct Condition {
    std::string key;
    std::uint64_t stamp = 0;
};
struct Operation {
    std::string key;
    std::optional<Value> put;  // nullopt: delete
    std::optional<std::uint64_t> lease;
};
struct TxnAnswer {
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};
std::optional<Entry> parse_entry(std::string_view body);
std::optional<Entries> parse_entries(std::string_view body);
// The puts of a watch's answer; what was deleted is left out.
std::optional<Entries> parse_events(std::string_view body);
std::string txn_body(const std::vector<Condition>& conditions,
                     const std::vector<Operation>& operations);
std::optional<TxnAnswer> parse_txn(std::string_view body);
std::string lease_body(std::chrono::milliseconds life);
std::optional<std::uint64_t> parse_lease(std::string_view body);

// Records kept in the state service.
Value job_record(const core::JobRecord& record);
std::optional<core::JobRecord> parse_job_record(const Value& value);
// What stays of a job that is over.
Value final_record(const core::JobRecord& record);
std::optional<core::Final> parse_final(const Value& value);
Value machine_record(const core::ListedMachine& machine);
std::optional<core::ListedMachine> parse_machine_record(const std::string& name,
                                                        const Value& value);
struct ViewRecord {
    std::uint64_t epoch = 0;
    std::string steward;
    // Lives of this steward that took the role one after the other without getting anywhere.
    std::uint32_t returns = 0;
};
Value view_record(const ViewRecord& view);
std::optional<ViewRecord> parse_view(const Value& value);

}  // namespace bendspindle::wire
