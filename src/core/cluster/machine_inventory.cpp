#include "core/cluster/machine_inventory.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/model/fencing_token.hpp"

namespace bendspindle::core {

namespace {

// Bounds the memory used by names of removed machines.
constexpr std::size_t max_remembered_removals = 4096;
constexpr Seconds lease_margin{2};
constexpr Seconds list_lag_margin{2};
// Longest delay between cycles, beyond the cycle interval, that is attributed to load of this
// controller; a longer one counts as a pause.
constexpr Seconds max_cycle_delay{2};
// Fraction of the time limit for stopping the tasks of a cancelled job after which the machine is
// released.
constexpr double cancel_share = 0.6;
// Consecutive heartbeats that reflect none of the commands sent; a single response may be lost on
// any network.
constexpr std::uint32_t unacknowledged_heartbeats_threshold = 2;
// At most this fraction of the inventory, but always up to two machines, may be released as
// unreachable within one lease. If more machines seem unreachable, the fault is more likely with
// this controller.
constexpr double max_released_fraction = 0.1;
constexpr std::size_t min_release_limit = 2;
// Number of consecutive heartbeats that a machine may miss before its silence has consequences.
constexpr double max_missed_heartbeats = 2.5;
constexpr Seconds heartbeat_margin{1};
// Multiple of the boot time in the catalog after which a boot counts as failed.
constexpr double max_boot_factor = 3.5;
constexpr Seconds boot_margin{10};

bool took_effect(const TaskCommand& command, const Heartbeat& heartbeat) {
    const auto it =
        std::find_if(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const auto& task) {
            return task.index == command.index && task.attempt == command.attempt &&
                   task.job == command.job;
        });
    switch (command.verb) {
        case TaskCommand::Verb::start:
            return it != heartbeat.tasks.end();
        case TaskCommand::Verb::stop:
            return it == heartbeat.tasks.end() || it->state == TaskState::exited;
        case TaskCommand::Verb::acknowledge:
            return it == heartbeat.tasks.end();
    }
    return true;
}

}  // namespace

Machine* MachineInventory::find(const std::string& name) {
    const auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : &it->second;
}

void MachineInventory::set_type(MachineIdentity& identity) const {
    const auto type = catalog_.find(identity.type_name);
    identity.type_known = type.has_value();
    if (type) identity.type = *type;
}

void MachineInventory::set_identity(Machine& machine, const std::string& name,
                                    const std::string& type, const std::string& zone,
                                    bool spot) const {
    auto& identity = machine.identity;
    identity.name = name;
    identity.type_name = type;
    set_type(identity);
    identity.zone = zone;
    identity.spot = spot;
}

void MachineInventory::catalog_changed() {
    for (auto& [name, machine] : machines_) set_type(machine.identity);
}

void MachineInventory::load(const ListedMachine& record, std::uint64_t mod_revision,
                            TimePoint now) {
    auto& machine = machines_[record.name];
    set_identity(machine, record.name, record.type, record.zone, record.spot);
    machine.identity.address = record.address;
    machine.record.durable = true;
    machine.record.mod_revision = mod_revision;
    machine.contact.first_seen = machine.contact.last_contact = machine.lifecycle.idle_since =
        machine.contact.loaded_at = now;
}

void MachineInventory::load_unreadable(const std::string& name, std::uint64_t mod_revision,
                                       TimePoint now) {
    load({name, {}, {}, {}, false, MachineStage::running, Seconds{0}}, mod_revision, now);
    machines_.at(name).record.unreadable = true;
}

Machine& MachineInventory::add_or_update(const Heartbeat& heartbeat, TimePoint now) {
    auto [it, fresh] = machines_.try_emplace(heartbeat.machine);
    auto& machine = it->second;
    if (fresh) machine.contact.first_seen = machine.lifecycle.idle_since = now;
    set_identity(machine, heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
    machine.identity.address = heartbeat.address;
    return machine;
}

void MachineInventory::scaled_out(const ScaleOutRequest& request,
                                  const std::vector<std::string>& names, TimePoint now) {
    for (const auto& name : names) {
        if (removed_.contains(name)) continue;
        auto [it, fresh] = machines_.try_emplace(name);
        if (!fresh) continue;
        auto& machine = it->second;
        machine.lifecycle.known_to_cloud = true;
        set_identity(machine, name, request.type, request.zone, request.spot);
        machine.contact.first_seen = machine.contact.last_contact = machine.lifecycle.idle_since =
            now;
    }
}

void MachineInventory::apply_cloud_list(const std::vector<ListedMachine>& machines, TimePoint asked,
                                        TimePoint now) {
    std::set<std::string_view> names;
    for (const auto& entry : machines) names.insert(entry.name);
    for (auto& [name, machine] : machines_)
        if (!names.contains(name) && asked > listed_after(machine))
            machine.lifecycle.releasing = true;
    for (const auto& entry : machines) {
        if (removed_.contains(entry.name)) continue;
        if (entry.stage == MachineStage::failed) {
            // A failed entry proves that the machine has stopped. It is deleted below. Its tasks
            // stay assigned until the deletion is confirmed, which takes one call.
            if (auto* machine = find(entry.name)) {
                machine->lifecycle.releasing = true;
                continue;
            }
        }
        auto [it, fresh] = machines_.try_emplace(entry.name);
        it->second.lifecycle.known_to_cloud = true;
        if (it->second.identity.address.empty()) it->second.identity.address = entry.address;
        if (!fresh) continue;
        // A machine that this leader has not requested: a delayed scale-out, or one by a former
        // leader.
        auto& machine = it->second;
        set_identity(machine, entry.name, entry.type, entry.zone, entry.spot);
        machine.contact.first_seen = later(now, -entry.age);
        machine.contact.last_contact = machine.lifecycle.idle_since = now;
        if (entry.stage == MachineStage::failed) machine.lifecycle.releasing = true;
    }
}

// A list requested after this time contains the machine unless it is gone. A machine that the cloud
// has reclaimed, or that a former leader has released, disappears from the list long before the
// lease of its agent expires. Absence from the list is no proof, so the machine is released, and
// only the confirmed release counts. If the list were wrong, a machine without contact for the same
// time would be lost, but no rule would be broken.
TimePoint MachineInventory::listed_after(const Machine& machine) const {
    const auto late = config_.list_lag * 2 + list_lag_margin;
    // A machine that has sent heartbeats is not released because one or two of them were lost.
    const auto silent = config_.workers.heartbeat * max_missed_heartbeats + heartbeat_margin;
    return later(machine.contact.last_contact,
                 machine.contact.has_reported ? std::max(late, silent) : late);
}

void MachineInventory::observe(Machine& machine, const Heartbeat& heartbeat, Origin origin,
                               TimePoint now) {
    if (heartbeat.agent_epoch != machine.fencing.agent_epoch) {
        machine.direct_calls.starts_under_present_token = false;
        machine.reachability.outstanding_commands.clear();
        // Its lease expired for lack of responses although its heartbeats kept arriving and each
        // was answered: the network is partitioned one way.
        const bool in_contact_throughout =
            machine.fencing.confirmed && machine.fencing.agent_epoch != 0 &&
            between(machine.contact.last_message_at, now) < config_.workers.lease / 2;
        if (in_contact_throughout && !machine.reachability.inbound_unreachable_since)
            machine.reachability.inbound_unreachable_since = now;
    }
    if (!machine.reachability.first_heartbeat_at) machine.reachability.first_heartbeat_at = now;
    machine.fencing.agent_epoch = heartbeat.agent_epoch;
    machine.fencing.sequence = heartbeat.sequence;
    machine.contact.last_contact = machine.contact.last_message_at = now;
    if (origin == Origin::heartbeat || machine.contact.last_unprompted_at == TimePoint{})
        machine.contact.last_unprompted_at = now;
    machine.contact.has_reported = true;
    if (heartbeat.reclaim_notice && !machine.lifecycle.reclaim_at)
        machine.lifecycle.reclaim_at = later(now, *heartbeat.reclaim_notice);
    if (!heartbeat.reclaim_notice) machine.lifecycle.reclaim_at.reset();
}

void MachineInventory::confirm(Machine& machine, std::uint64_t fencing_token, TimePoint now) {
    machine.fencing.token_generation =
        std::max(machine.fencing.token_generation, generation_of(fencing_token));
    if (!machine.fencing.confirmed) {
        // The fencing token of the machine was raised.
        machine.lifecycle.idle_since = now;
        mark_reachable(machine);
    }
    machine.fencing.confirmed = true;
}

// Guard against a machine that attracts all work: no command reached it, its heartbeats reported it
// as free, and each of them led to every task being placed there again.
void MachineInventory::check_acknowledgements(Machine& machine, const Heartbeat& heartbeat,
                                              TimePoint now) {
    const auto commands = std::exchange(machine.reachability.outstanding_commands, {});
    // A gang task that saves a checkpoint is reported as running until it exits, so a stop with a
    // grace period that is not reflected proves nothing.
    const auto conclusive = [](const TaskCommand& command) {
        return command.verb != TaskCommand::Verb::stop || command.grace <= Seconds{0};
    };
    if (std::none_of(commands.begin(), commands.end(), conclusive)) return;
    const bool acknowledged =
        std::any_of(commands.begin(), commands.end(), [&](const TaskCommand& command) {
            return conclusive(command) && took_effect(command, heartbeat);
        });
    if (acknowledged)
        mark_reachable(machine);
    else if (++machine.reachability.unacknowledged_commands >=
                 unacknowledged_heartbeats_threshold &&
             !machine.reachability.inbound_unreachable_since)
        machine.reachability.inbound_unreachable_since = now;
}

void MachineInventory::mark_reachable(Machine& machine) {
    machine.reachability.unacknowledged_commands = 0;
    machine.reachability.inbound_unreachable_since.reset();
}

// Heartbeats of the machine arrive, but for longer than a lease nothing has shown that messages to
// it do. A machine whose agent epoch has not changed has renewed its lease, so it did receive a
// response.
bool MachineInventory::is_unreachable(const Machine& machine, TimePoint now) const {
    if (machine.lifecycle.releasing || !machine.reachability.first_heartbeat_at) return false;
    const auto limit = config_.workers.lease + lease_margin;
    if (!machine.fencing.confirmed)
        return between(later(*machine.reachability.first_heartbeat_at, limit), now) > Seconds{0};
    return machine.reachability.inbound_unreachable_since && machine.assigned_tasks.empty() &&
           between(*machine.reachability.inbound_unreachable_since, now) > limit;
}

// Guard against unbounded charges and against jobs of a former term that wait forever: the
// heartbeats of such a machine kept it in the inventory although no command reached it.
void MachineInventory::release_unreachable(TimePoint now) {
    while (!unreachable_released_at_.empty() &&
           between(unreachable_released_at_.front(), now) > config_.workers.lease)
        unreachable_released_at_.pop_front();
    const auto max_released = std::max(
        min_release_limit, static_cast<std::size_t>(std::floor(
                               static_cast<double>(machines_.size()) * max_released_fraction)));
    for (auto& [name, machine] : machines_) {
        if (unreachable_released_at_.size() >= max_released) return;
        if (!is_unreachable(machine, now)) continue;
        machine.lifecycle.releasing = true;
        unreachable_released_at_.push_back(now);
    }
}

// Guard against releasing all machines after a pause of this controller: a controller that had been
// paused for longer than a lease found that no machine had been in contact for as long.
void MachineInventory::compensate_for_own_pause(TimePoint now) {
    const auto last = std::exchange(last_check_, now);
    if (!last) return;
    const auto paused = between(*last, now);
    if (paused < config_.cycle + max_cycle_delay) return;
    for (auto& [name, machine] : machines_) {
        const auto moved = [&](TimePoint t) { return std::min(now, later(t, paused)); };
        machine.contact.last_contact = moved(machine.contact.last_contact);
        if (machine.contact.last_unprompted_at != TimePoint{})
            machine.contact.last_unprompted_at = moved(machine.contact.last_unprompted_at);
        machine.contact.first_seen = moved(machine.contact.first_seen);
        machine.lifecycle.idle_since = moved(machine.lifecycle.idle_since);
        if (machine.lifecycle.surplus_since)
            machine.lifecycle.surplus_since = moved(*machine.lifecycle.surplus_since);
        if (machine.contact.loaded_at != TimePoint{})
            machine.contact.loaded_at = moved(machine.contact.loaded_at);
        if (machine.reachability.first_heartbeat_at)
            machine.reachability.first_heartbeat_at =
                moved(*machine.reachability.first_heartbeat_at);
        if (machine.reachability.inbound_unreachable_since)
            machine.reachability.inbound_unreachable_since =
                moved(*machine.reachability.inbound_unreachable_since);
    }
}

// Returns whether the machine has been silent for longer than its lease, or than two heartbeat
// intervals if the cloud should have reclaimed it: it was reclaimed, has failed, hangs or is
// partitioned. Only a confirmed release proves that nothing runs on it, so the release is requested
// once the agent's lease must have expired.
bool MachineInventory::is_silent(const Machine& machine, TimePoint now) const {
    const auto lease = config_.workers.lease + lease_margin;
    const auto& contact = machine.contact;
    const auto& reclaim_at = machine.lifecycle.reclaim_at;
    const auto limit = reclaim_at && *reclaim_at < now ? config_.workers.heartbeat * 2 : lease;
    if (contact.has_reported) return between(contact.last_contact, now) > limit;
    // Recorded by a former leader, and silent since the failover.
    return machine.record.durable && contact.loaded_at != TimePoint{} &&
           between(contact.loaded_at, now) > lease;
}

bool MachineInventory::boot_timed_out(const Machine& machine, TimePoint now) const {
    const auto& contact = machine.contact;
    return !contact.has_reported && contact.loaded_at == TimePoint{} &&
           machine.identity.type_known &&
           between(contact.first_seen, now) >
               catalog_[machine.identity.type].boot * max_boot_factor + boot_margin;
}

void MachineInventory::update_health(TimePoint now) {
    compensate_for_own_pause(now);
    release_unreachable(now);
    for (auto& [name, machine] : machines_) {
        if (machine.lifecycle.releasing) continue;
        const bool faulty_and_empty = machine.failures.at_fault && machine.assigned_tasks.empty();
        // Guard against ran_cancelled: tasks on an unreachable machine must end within the time
        // limit.
        if (is_silent(machine, now) || boot_timed_out(machine, now) || faulty_and_empty ||
            must_be_released(machine, now))
            machine.lifecycle.releasing = true;
    }
}

bool MachineInventory::must_be_released(const Machine& machine, TimePoint now) const {
    const auto limit = config_.workers.cancel * cancel_share;
    // The time when orphaned tasks were cancelled is unknown, but it was before they were first
    // seen.
    const auto& orphaned_since = machine.untracked.orphaned_since;
    if (orphaned_since && between(*orphaned_since, now) > limit) return true;
    return std::any_of(machine.assigned_tasks.begin(), machine.assigned_tasks.end(),
                       [&](const auto& entry) {
                           const auto& job = *entry.second.job;
                           return job.terminal.state == TerminalState::cancelled &&
                                  job.terminal.cancelled_at != TimePoint{} &&
                                  between(job.terminal.cancelled_at, now) > limit;
                       });
}

void MachineInventory::remove(const std::string& name) {
    const auto it = machines_.find(name);
    if (it == machines_.end()) return;
    if (it->second.record.durable || it->second.record.mod_revision != 0)
        pending_record_deletions_[name] = it->second.record.mod_revision;
    machines_.erase(it);
    if (removed_.insert(name).second) removed_order_.push_back(name);
    if (removed_order_.size() > max_remembered_removals) {
        removed_.erase(removed_order_.front());
        removed_order_.pop_front();
    }
}

bool MachineInventory::usable(const Machine& machine, TimePoint now) const {
    return machine.fencing.confirmed && machine.record.durable && machine.identity.type_known &&
           !machine.draining() && !machine.reachability.inbound_unreachable_since &&
           // Guard against a machine that attracts work and loses it: direct calls reach the
           // machine, but its heartbeats reach no controller, so its lease expires.
           between(machine.contact.last_unprompted_at, now) <
               config_.workers.heartbeat * max_missed_heartbeats + heartbeat_margin;
}

bool MachineInventory::is_capacity(const Machine& machine, TimePoint now) const {
    const auto& contact = machine.contact;
    if (machine.draining() || machine.reachability.inbound_unreachable_since ||
        !machine.identity.type_known)
        return false;
    // A machine that this term has not scaled out proves its existence within two heartbeat
    // intervals, or does not exist.
    if (!certainly_exists(machine) &&
        between(contact.first_seen, now) > config_.workers.heartbeat * 2)
        return false;
    return !contact.has_reported || between(contact.last_contact, now) <= config_.workers.lease;
}

std::size_t MachineInventory::unfenced_machine_count() const {
    return static_cast<std::size_t>(
        std::count_if(machines_.begin(), machines_.end(), [](const auto& entry) {
            return entry.second.record.durable && !entry.second.fencing.confirmed;
        }));
}

bool MachineInventory::may_have_unfenced_tasks(const Job& job) const {
    if (job.accepted_this_term) return false;
    // Guard against ran_twice after a failover: the former leader may have started tasks of this
    // job on any recorded machine that has not reported the new fencing token yet.
    return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
        const auto& machine = entry.second;
        return machine.record.durable && !machine.fencing.confirmed &&
               (machine.record.unreadable || allowed(job.spec, machine.identity.type_name,
                                                     machine.identity.zone, machine.identity.spot));
    });
}

void MachineInventory::add_cached_image(Machine& machine, const Job& job) {
    if (job.image == 0 || !machine.identity.type_known) return;
    auto& images = machine.cached_images;
    if (!images.empty() && images.back().id == job.image) return;
    std::erase_if(images, [&](const auto& entry) { return entry.id == job.image; });
    images.push_back({job.image, job.spec.image_gb});
    double total = 0;
    for (const auto& entry : images) total += entry.gb;
    while (total > catalog_[machine.identity.type].cache_gb && !images.empty()) {
        total -= images.front().gb;
        images.erase(images.begin());
    }
}

void MachineInventory::mark_recorded(const std::string& name, std::uint64_t mod_revision) {
    if (auto* machine = find(name)) {
        machine->record.durable = true;
        machine->record.mod_revision = mod_revision;
    } else {
        // The machine was released while its record was being written.
        pending_record_deletions_[name] = mod_revision;
    }
}

void MachineInventory::set_mod_revision(const std::string& name, std::uint64_t mod_revision) {
    if (auto* machine = find(name)) machine->record.mod_revision = mod_revision;
}

void MachineInventory::set_deleted_record_mod_revision(const std::string& name,
                                                       std::uint64_t mod_revision) {
    if (mod_revision == 0)
        pending_record_deletions_.erase(name);
    else if (const auto it = pending_record_deletions_.find(name);
             it != pending_record_deletions_.end())
        it->second = mod_revision;
}

}  // namespace bendspindle::core
