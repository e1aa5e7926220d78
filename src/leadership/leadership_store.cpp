#include "leadership/leadership_store.hpp"

#include <utility>

#include "state/keys.hpp"

namespace bendspindle::leadership {

namespace {

// Revision in a compare-and-swap condition that requires the key not to exist.
constexpr std::uint64_t key_absent = 0;

}  // namespace

LeadershipStore::LeadershipStore(state::KeyValueStore& store, std::string name,
                                 std::uint64_t incarnation)
    : store_(store), name_(std::move(name)), incarnation_(incarnation) {}

LeaderKeyRead LeadershipStore::read_leader_key() {
    const auto read = store_.get(state::keys::leader);
    if (read.outcome != state::StoreStatus::ok) return {read.outcome, std::nullopt};
    const auto& entry = read.entry;
    return {read.outcome,
            LeaderKey{entry.value.value("name", std::string()), entry.lease, entry.mod_revision}};
}

LeadershipRecordRead LeadershipStore::read_record() {
    using Status = LeadershipRecordRead::Status;
    const auto read = store_.get(state::keys::leadership_record);
    if (read.outcome == state::StoreStatus::absent)
        return {Status::absent, std::nullopt, key_absent};
    if (read.outcome != state::StoreStatus::ok) return {};
    auto record = wire::parse_leadership_record(read.entry.value);
    const auto status = record ? Status::found : Status::unreadable;
    return {status, std::move(record), read.entry.mod_revision};
}

std::optional<std::uint64_t> LeadershipStore::grant_lease(std::chrono::milliseconds time_to_live) {
    const auto granted = store_.grant_lease(time_to_live);
    if (!granted) return std::nullopt;
    const auto put = store_.compare_and_swap(
        {},
        {{state::keys::controller(name_), wire::Value{{"incarnation", incarnation_}}, *granted}});
    if (put.outcome != state::StoreStatus::ok) return std::nullopt;
    return granted;
}

std::optional<bool> LeadershipStore::owns_leader_key(std::uint64_t mod_revision) {
    const auto key = store_.get(state::keys::leader);
    if (key.outcome == state::StoreStatus::absent) return false;
    if (key.outcome != state::StoreStatus::ok) return std::nullopt;
    return key.entry.mod_revision == mod_revision;
}

state::CasResult LeadershipStore::write_election(const std::optional<LeaderKey>& former,
                                                 std::uint64_t record_revision,
                                                 const wire::LeadershipRecord& record,
                                                 std::uint64_t lease) {
    return store_.compare_and_swap(
        {{state::keys::leader, former ? former->mod_revision : key_absent},
         {state::keys::leadership_record, record_revision}},
        {{state::keys::leader, wire::Value{{"name", name_}, {"incarnation", incarnation_}}, lease},
         {state::keys::leadership_record, wire::leadership_record(record), std::nullopt}});
}

state::CasResult LeadershipStore::replace_record(std::uint64_t leader_key_revision,
                                                 std::uint64_t record_revision,
                                                 const wire::LeadershipRecord& record) {
    return store_.compare_and_swap(
        {{state::keys::leader, leader_key_revision},
         {state::keys::leadership_record, record_revision}},
        {{state::keys::leadership_record, wire::leadership_record(record), std::nullopt}});
}

}  // namespace bendspindle::leadership
