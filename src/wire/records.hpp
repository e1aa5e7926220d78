// The records that controllers keep in the state service: open jobs, jobs that are over, machines,
// and the view. Programs of other versions read them too, so their form only ever grows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/job.hpp"
#include "core/types.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::wire {

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
