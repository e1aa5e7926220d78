/// Codec of job specifications: the body of a submission, and a part of the stored job record. Used
/// by the codecs of user messages and of records; job_spec.cpp lists the field names on the wire
/// and the corresponding terms in the code.
#pragma once

#include <string_view>

#include "core/model/types.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::wire {

/// Returns whether the text is a valid job id: `job-` followed by letters, digits, `-` and `_`,
/// with at most 64 characters in total.
[[nodiscard]] bool valid_job_id(std::string_view id);

/// Reads a job specification; throws `Malformed` (wire/fields.hpp) with the name of an invalid
/// field.
[[nodiscard]] core::JobSpec read_job_spec(const Value& map);
[[nodiscard]] Value job_spec_value(const core::JobSpec& spec);

}  // namespace bendspindle::wire
