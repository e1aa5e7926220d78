/// The one writer of the leader's records: gathers what several requests need into one transaction.
///
/// `core::Controller` holds the queue of writes; this class commits them. A transaction is
/// conditional on the leader key, so a deposed leader's late write fails, and on each record's
/// mod_revision. An outcome that is unknown is sent again and, if it was executed after all,
/// reconciled with the records.
///
/// `run` has a thread of its own and is the only user of the members without a lock. It calls the
/// store without the leader mutex.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "state/key_value_store.hpp"
#include "state/keys.hpp"
#include "state/leader_state.hpp"
#include "state/terminal_state_cache.hpp"

namespace bendspindle::state {

/// Commits records for as long as the process lives, whoever is the leader.
class StateWriter {
  public:
    /// All of these outlive it.
    StateWriter(LeaderState& leader_state, KeyValueStore& store,
                TerminalStateCache& terminal_states, config::StateLimits limits);
    /// Runs until the process ends.
    void run();

  private:
    using Clock = std::chrono::steady_clock;
    using Milliseconds = std::chrono::milliseconds;

    struct Batch {
        std::uint64_t term = 0;
        std::vector<core::RecordWrite> writes;
        std::vector<wire::Condition> conditions;
        std::vector<wire::Operation> operations;
        std::size_t job_record_bytes = 0;
        // Jobs whose terminal state is sent for the first time.
        std::vector<std::string> terminal_states;
    };
    enum class Added : std::uint8_t { added, batch_full };

    // What the store holds where a condition did not hold.
    struct StoredRecord {
        std::uint64_t mod_revision = 0;  // 0: no such record
        std::optional<core::JobRecord> admitted_by_follower;
        std::optional<core::TerminalState> terminal_state;
        std::uint64_t terminal_mod_revision = 0;
    };
    enum class Reconciled : std::uint8_t { yes, deposed };

    void wait_for_writes();
    Batch collect_batch();
    Added add(core::RecordWrite write, Batch& batch) const;
    CasResult commit(const Batch& batch);

    void resolve_outcome(const Batch& batch, const CasResult& result);
    void resolve_committed(const Batch& batch, std::uint64_t revision);
    void resolve_rejected(const Batch& batch);
    void resolve_malformed(const Batch& batch);
    void pause_with_jitter();

    void reconcile_conflict(const Batch& batch, const CasResult& result);
    // None: the store does not answer.
    std::optional<StoredRecord> read_stored(const core::RecordWrite& write);
    Reconciled reconcile(const core::RecordWrite& write, const StoredRecord& stored,
                         std::uint64_t term);

    LeaderState& leader_state_;
    KeyValueStore& store_;
    TerminalStateCache& terminal_states_;
    const config::StateLimits limits_;
    Clock::time_point next_commit_{};
    Milliseconds pause_;
    std::mt19937 random_{std::random_device{}()};
    std::size_t write_one_by_one_ = 0;  // so many of the next writes
    // By id of job or name of machine, with when they are tried again.
    std::map<std::string, Clock::time_point> quarantined_;
};

}  // namespace bendspindle::state
