/// Access to the leadership data in the key-value store: this controller's lease and its own key,
/// the leader key and the leadership record.
///
/// Only `LeaderElector` uses this class, from its thread. The class calls the store and has no
/// state of its own; election.hpp decides what to write. Each function blocks on the store.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "leadership/election.hpp"
#include "state/key_value_store.hpp"
#include "wire/records.hpp"

namespace bendspindle::leadership {

/// Result of reading the leader key: `ok` with a key, `absent`, or a failure status.
struct LeaderKeyRead {
    state::StoreStatus status = state::StoreStatus::unknown;
    std::optional<LeaderKey> key;
};

/// Result of reading the leadership record.
struct LeadershipRecordRead {
    enum class Status : std::uint8_t { found, absent, unreadable, unavailable };

    Status status = Status::unavailable;
    std::optional<wire::LeadershipRecord> record;  ///< set if `status` is `found`
    std::uint64_t mod_revision = 0;  ///< 0 if absent: a write then requires that it does not exist
};

/// Store client for the leadership data. As thread-safe as the underlying store.
class LeadershipStore {
  public:
    /// `store` must outlive this object. `name`: name of this controller. `incarnation`: identifier
    /// of its process.
    LeadershipStore(state::KeyValueStore& store, std::string name, std::uint64_t incarnation);

    /// Reads the key that names the leader and expires with its lease.
    LeaderKeyRead read_leader_key();
    /// Reads the record of the newest term.
    LeadershipRecordRead read_record();

    /// Requests a new lease and puts this controller's own key under it. Returns nothing if either
    /// fails.
    std::optional<std::uint64_t> grant_lease(std::chrono::milliseconds time_to_live);
    /// Returns whether the leader key still has this revision, or nothing if the store does not
    /// respond.
    std::optional<bool> owns_leader_key(std::uint64_t mod_revision);

    /// Writes this controller's leader key, under the lease, and the record in one
    /// compare-and-swap. A former leader key is replaced, so that the key is never absent and no
    /// other controller can be elected without knowing of the former incarnation that may still be
    /// running.
    state::CasResult write_election(const std::optional<LeaderKey>& former,
                                    std::uint64_t record_revision,
                                    const wire::LeadershipRecord& record, std::uint64_t lease);
    /// Replaces the record if the leader key and the record still have these revisions.
    state::CasResult replace_record(std::uint64_t leader_key_revision,
                                    std::uint64_t record_revision,
                                    const wire::LeadershipRecord& record);

  private:
    state::KeyValueStore& store_;
    const std::string name_;
    const std::uint64_t incarnation_;
};

}  // namespace bendspindle::leadership
