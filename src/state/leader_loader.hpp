/// Loads the records of machines and open jobs into a new core before it begins to lead.
///
/// Called by `daemon::Failover` on its own thread, with a core that no other thread can reach yet.
/// Calls the store and takes no lock.
#pragma once

#include <cstdint>
#include <optional>

#include "core/controller.hpp"
#include "state/key_value_store.hpp"

namespace bendspindle::state {

/// Returns the revision up to which open jobs were read, from which their watch starts. Returns
/// nothing if a listing failed; the caller then discards `controller`.
[[nodiscard]] std::optional<std::uint64_t> load_records(KeyValueStore& store,
                                                        core::Controller& controller);

}  // namespace bendspindle::state
