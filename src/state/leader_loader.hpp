/// Loads the records of machines and open jobs into a fresh core, before it begins to lead.
///
/// Called by `daemon::Failover` on a thread of its own, with a core that nobody else has yet; calls
/// the store and takes no lock.
#pragma once

#include <cstdint>
#include <optional>

#include "core/controller.hpp"
#include "state/key_value_store.hpp"

namespace bendspindle::state {

/// The revision up to which open jobs were read, where their watch begins; none: the store did not
/// answer, and `controller` is to be thrown away.
[[nodiscard]] std::optional<std::uint64_t> load_records(KeyValueStore& store,
                                                        core::Controller& controller);

}  // namespace bendspindle::state
