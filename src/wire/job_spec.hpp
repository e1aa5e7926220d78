// The form of a job as its user wrote it: the body of a submission, and a part of the job's record.
#pragma once

#include <string_view>

#include "core/model/types.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::wire {

bool valid_job_id(std::string_view id);

// Throws `Malformed` (wire/fields.hpp) with the name of the field that is wrong.
core::JobSpec read_job_spec(const Value& map);
Value job_spec_value(const core::JobSpec& spec);

}  // namespace bendspindle::wire
