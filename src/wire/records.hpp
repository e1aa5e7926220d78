// The records that controllers keep in the state service: open jobs, jobs that are over, machines,
// and the view. Programs of other versions read them too, so their form only ever grows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/cluster/job.hpp"
#include "core/model/types.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::wire {

Value job_record(const core::JobRecord& record);
std::optional<core::JobRecord> parse_job_record(const Value& value);

// What stays of a job that is over.
Value terminal_record(const core::JobRecord& record);
std::optional<core::TerminalState> parse_terminal_record(const Value& value);

Value machine_record(const core::ListedMachine& machine);
std::optional<core::ListedMachine> parse_machine_record(const std::string& name,
                                                        const Value& value);

struct LeadershipRecord {
    std::uint64_t term = 0;
    std::string leader;
    // Lives of this leader that took the role one after the other without getting anywhere.
    std::uint32_t consecutive_restarts = 0;
};
Value leadership_record(const LeadershipRecord& view);
std::optional<LeadershipRecord> parse_leadership_record(const Value& value);

}  // namespace bendspindle::wire
