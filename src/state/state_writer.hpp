/// The only writer of the leader's records: combines the writes of several requests in one
/// transaction.
///
/// `core::Controller` holds the queue of writes; this class commits them. A transaction is
/// conditional on the leader key, so a deposed leader's late write fails, and on each record's
/// mod_revision. A transaction with an unknown outcome is sent again and, if it had been executed,
/// its writes are reconciled with the records.
///
/// `run` has its own thread, the only one that uses the members that no lock guards. It calls the
/// store without the leader mutex.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "state/key_value_store.hpp"
#include "state/keys.hpp"
#include "state/leader_state.hpp"
#include "state/terminal_state_cache.hpp"

namespace bendspindle::state {

/// A writer that runs until the process ends and commits records while this controller leads.
class StateWriter {
  public:
    /// The referenced objects must outlive the writer.
    StateWriter(LeaderState& leader_state, KeyValueStore& store,
                TerminalStateCache& terminal_states, config::StateLimits limits);
    /// Commits pending writes. Does not return.
    void run();

  private:
    using Clock = std::chrono::steady_clock;
    using Milliseconds = std::chrono::milliseconds;

    struct Batch {
        std::uint64_t term = 0;
        std::vector<core::RecordWrite> writes;
        std::vector<wire::Condition> conditions;
        std::vector<wire::Operation> operations;
        std::size_t bytes = 0;  // upper bound on the size of the transaction
        // Ids of the jobs whose terminal state is sent for the first time.
        std::vector<std::string> terminal_states;
    };
    enum class AddResult : std::uint8_t { added, batch_full };

    // The stored state of a record whose condition did not hold.
    struct StoredRecord {
        std::uint64_t mod_revision = 0;  // 0: no such record
        std::optional<core::JobRecord> admitted_by_follower;
        std::optional<core::TerminalState> terminal_state;
        std::uint64_t terminal_mod_revision = 0;
    };
    enum class ReconcileResult : std::uint8_t { reconciled, deposed };

    void write_once();
    void wait_for_writes();
    Batch collect_batch();
    AddResult add(core::RecordWrite write, Batch& batch) const;
    CasResult commit(const Batch& batch);

    void resolve_outcome(const Batch& batch, const CasResult& result);
    void resolve_committed(const Batch& batch, std::uint64_t revision);
    void resolve_rejected(const Batch& batch);
    void resolve_malformed(const Batch& batch);
    void note_unknown_outcome(const Batch& batch);
    void refuse_job(const std::string& id, std::uint64_t term);
    void wait_before_retry();

    void reconcile_conflict(const Batch& batch, const CasResult& result);
    // Returns nothing if the store does not answer.
    std::optional<StoredRecord> read_stored(const core::RecordWrite& write);
    ReconcileResult reconcile(const core::RecordWrite& write, const StoredRecord& stored,
                              std::uint64_t term);

    LeaderState& leader_state_;
    KeyValueStore& store_;
    TerminalStateCache& terminal_states_;
    const config::StateLimits limits_;
    Clock::time_point next_commit_{};
    Milliseconds retry_delay_;
    std::mt19937 random_{std::random_device{}()};
    std::size_t single_writes_left_ = 0;  // transactions still to be limited to one write
    // Job id or machine name to the time of the next attempt.
    std::map<std::string, Clock::time_point> quarantined_;
    // Jobs whose first record may have been written by a transaction without a response.
    std::set<std::string> possibly_recorded_;
};

}  // namespace bendspindle::state
