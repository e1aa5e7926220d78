/// The leadership as it is stored: this controller's lease and own key, the leader key and the
/// leadership record in the key-value store.
///
/// Used by `LeaderElector` alone, from its thread. Only calls of the store, no decision and no
/// state: what is read and written here is decided in election.hpp. Each function blocks on the
/// store.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "leadership/election.hpp"
#include "state/key_value_store.hpp"
#include "wire/records.hpp"

namespace bendspindle::leadership {

/// The leader key as the store answered: `ok` with a key, `absent`, or a failure.
struct LeaderKeyRead {
    state::StoreStatus status = state::StoreStatus::unknown;
    std::optional<LeaderKey> key;
};

/// The leadership record as the store answered.
struct LeadershipRecordRead {
    enum class Status : std::uint8_t { found, absent, unreadable, unavailable };

    Status status = Status::unavailable;
    std::optional<wire::LeadershipRecord> record;  ///< if it was found
    std::uint64_t mod_revision = 0;                ///< 0 if absent: it must not exist to be written
};

/// As safe from several threads as the store is.
class LeadershipStore {
  public:
    /// `store` outlives this. `name`: this controller's. `incarnation`: of its process.
    LeadershipStore(state::KeyValueStore& store, std::string name, std::uint64_t incarnation);

    /// The key that names the leader and expires with its lease.
    LeaderKeyRead read_leader_key();
    /// The record of the newest term.
    LeadershipRecordRead read_record();

    /// A new lease with this controller's own key under it; none if either failed.
    std::optional<std::uint64_t> grant_lease(std::chrono::milliseconds time_to_live);
    /// Whether the leader key is still the one of this revision; none if the store does not answer.
    std::optional<bool> owns_leader_key(std::uint64_t mod_revision);

    /// Puts this controller's leader key, under the lease, and the record by one compare-and-swap:
    /// over the former leader key if there is one, so that the key is never gone and no other
    /// controller is elected without knowing of the former incarnation that may still run.
    state::CasResult write_election(const std::optional<LeaderKey>& former,
                                    std::uint64_t record_revision,
                                    const wire::LeadershipRecord& record, std::uint64_t lease);
    /// Replaces the record, while the leader key and the record have these revisions.
    state::CasResult replace_record(std::uint64_t leader_key_revision,
                                    std::uint64_t record_revision,
                                    const wire::LeadershipRecord& record);

  private:
    state::KeyValueStore& store_;
    const std::string name_;
    const std::uint64_t incarnation_;
};

}  // namespace bendspindle::leadership
