/// The form of a job as its user wrote it: the body of a submission, and a part of the job's stored
/// record. Called by the codecs of user messages and of records; the map from the wire's fields to
/// the code's terms is in job_spec.cpp.
#pragma once

#include <string_view>

#include "core/model/types.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::wire {

/// Whether this has the form of a job id: `job-` and letters, digits, `-` and `_`, 64 at most.
[[nodiscard]] bool valid_job_id(std::string_view id);

/// Throws `Malformed` (wire/fields.hpp) with the name of the field that is wrong.
[[nodiscard]] core::JobSpec read_job_spec(const Value& map);
[[nodiscard]] Value job_spec_value(const core::JobSpec& spec);

}  // namespace bendspindle::wire
