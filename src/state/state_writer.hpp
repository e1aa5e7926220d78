// The one writer of records: gathers what several requests need into one transaction.
#pragma once

#include <map>
#include <string>

#include "config/settings.hpp"
#include "state/key_value_store.hpp"
#include "state/keys.hpp"
#include "state/leader_state.hpp"
#include "state/terminal_state_cache.hpp"

namespace bendspindle::state {

class StateWriter {
  public:
    StateWriter(LeaderState& leader_state, KeyValueStore& store,
                TerminalStateCache& terminal_states, config::StateLimits limits);
    // Runs until the process ends.
    void run();

  private:
    struct Batch {
        std::uint64_t term = 0;
        std::vector<core::RecordWrite> changes;
        std::vector<wire::Condition> conditions;
        std::vector<wire::Operation> operations;
        std::vector<std::string>
            terminal_states;  // jobs whose final state is sent for the first time
    };
    Batch gather();
    Batch fill(LeaderState::Access& access);
    void not_executed(const Batch& batch);
    void settle(const Batch& batch, const CasResult& cas_result);
    void find_unwritable(const Batch& batch);
    void read_back(const Batch& batch, const CasResult& cas_result);

    LeaderState& leader_state_;
    KeyValueStore& store_;
    TerminalStateCache& terminal_states_;
    config::StateLimits limits_;
    std::size_t alone_ = 0;  // so many changes are written one by one
    // By id of job or name of machine, with when they are tried again.
    std::map<std::string, std::chrono::steady_clock::time_point> unwritable_;
};

}  // namespace bendspindle::state
