/// Codecs of the records that controllers keep in the key-value store: open jobs, jobs in a
/// terminal state, machines and the leadership record. Used by `state` and `leadership`;
/// records.cpp lists the stored field names and the corresponding terms in the code. Other versions
/// of the program read the same records, so fields may be added but not removed or changed. The
/// parse functions return nullopt for a malformed record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/cluster/job.hpp"
#include "core/model/types.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::wire {

/// Returns the record of an open job: its specification and its completed tasks.
Value job_record(const core::JobRecord& record);
std::optional<core::JobRecord> parse_job_record(const Value& value);

/// Returns the record that is kept of a job in a terminal state.
Value terminal_record(const core::JobRecord& record);
std::optional<core::TerminalState> parse_terminal_record(const Value& value);

/// Returns the record of a machine. The key contains the name of the machine.
Value machine_record(const core::ListedMachine& machine);
std::optional<core::ListedMachine> parse_machine_record(const std::string& name,
                                                        const Value& value);

/// The current leader and its term.
struct LeadershipRecord {
    std::uint64_t term = 0;
    std::string leader;
    /// Number of consecutive incarnations of this leader that were elected without making any
    /// progress.
    std::uint32_t consecutive_restarts = 0;
};
Value leadership_record(const LeadershipRecord& record);
std::optional<LeadershipRecord> parse_leadership_record(const Value& value);

}  // namespace bendspindle::wire
