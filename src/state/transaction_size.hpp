/// Sizes of transactions of the key-value store, which limits them. Used by the state writer and by
/// job admission to decide how many records go into one transaction.
#pragma once

#include <cstddef>
#include <string>

#include "wire/cbor.hpp"

namespace bendspindle::state {

/// The space for records and their conditions in a transaction of at most 64 KiB; the rest is for
/// the proof of leadership.
inline constexpr std::size_t max_transaction_bytes = 63 * 1024;

/// Returns an upper bound on the size of a record in a transaction: its operations, which write the
/// record and may delete another one, and its conditions.
[[nodiscard]] std::size_t max_bytes_in_transaction(const std::string& key,
                                                   const wire::Value& record);

}  // namespace bendspindle::state
