#include "state/leader_state.hpp"

#include <utility>

namespace bendspindle::state {

std::vector<core::MachineType> LeaderState::machine_types() const {
    const std::lock_guard lock(machine_types_mutex_);
    return machine_types_;
}

bool LeaderState::knows_machine_types() const {
    const std::lock_guard lock(machine_types_mutex_);
    return !machine_types_.empty();
}

void LeaderState::set_machine_types(std::vector<core::MachineType> types) {
    {
        const std::lock_guard lock(machine_types_mutex_);
        machine_types_ = types;
    }
    const auto access = lock();
    if (auto* controller = access.controller()) controller->set_types(std::move(types));
}

core::Controller* LeaderState::Access::controller_for_term(std::uint64_t term) const {
    auto* const current = controller();
    return current != nullptr && current->term() == term ? current : nullptr;
}

// Guards against a minute without placement: a catalog that arrives while the records are being
// loaded finds no controller, so the new controller gets it here
// (LeaderState.ACatalogReadWhileLoadingIsInstalled).
void LeaderState::Access::install(std::unique_ptr<core::Controller> loaded,
                                  std::uint64_t leader_key_revision) {
    if (auto types = state_.machine_types(); !types.empty()) loaded->set_types(std::move(types));
    state_.controller_ = std::move(loaded);
    state_.leader_key_revision_ = leader_key_revision;
    request_placement();
    request_write();
}

void LeaderState::Access::remove_controller() {
    state_.controller_.reset();
    notify_committed();
}

void LeaderState::Access::request_write() {
    state_.write_pending_ = true;
    state_.write_requested_.notify_one();
}

void LeaderState::Access::wait_for_write_request(Milliseconds timeout) {
    state_.write_requested_.wait_for(lock_, timeout, [&] { return state_.write_pending_; });
}

void LeaderState::Access::request_placement() {
    state_.placement_pending_ = true;
    state_.placement_requested_.notify_one();
}

void LeaderState::Access::wait_for_placement_request(core::Seconds timeout) {
    state_.placement_requested_.wait_for(lock_, timeout, [&] { return state_.placement_pending_; });
}

}  // namespace bendspindle::state
