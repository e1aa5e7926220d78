#include "state/transaction_size.hpp"

namespace bendspindle::state {

namespace {

// Of two operations and two conditions: field names, punctuation and revisions.
constexpr std::size_t overhead_bytes = 160;
constexpr std::size_t times_named = 4;

}  // namespace

std::size_t max_bytes_in_transaction(const std::string& key, const wire::Value& record) {
    return times_named * wire::json_size(key) + wire::json_size(record) + overhead_bytes;
}

}  // namespace bendspindle::state
