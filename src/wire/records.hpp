/// The records that controllers keep in the key-value store: open jobs, jobs in a terminal state,
/// machines, and who leads. Called by `state` and `leadership`; the map from the stored fields to
/// the code's terms is in records.cpp. Programs of other versions read them too, so their form only
/// ever grows. Readers return nullopt for a malformed record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/cluster/job.hpp"
#include "core/model/types.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::wire {

/// An open job: what its user asked for, and which tasks are completed.
Value job_record(const core::JobRecord& record);
std::optional<core::JobRecord> parse_job_record(const Value& value);

/// What stays of a job in a terminal state.
Value terminal_record(const core::JobRecord& record);
std::optional<core::TerminalState> parse_terminal_record(const Value& value);

/// A machine; its name is in the key.
Value machine_record(const core::ListedMachine& machine);
std::optional<core::ListedMachine> parse_machine_record(const std::string& name,
                                                        const Value& value);

/// Who leads, under which term.
struct LeadershipRecord {
    std::uint64_t term = 0;
    std::string leader;
    /// Incarnations of this leader that were elected one after the other without any progress.
    std::uint32_t consecutive_restarts = 0;
};
Value leadership_record(const LeadershipRecord& record);
std::optional<LeadershipRecord> parse_leadership_record(const Value& value);

}  // namespace bendspindle::wire
