#include "core/cluster/machine_inventory.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bendspindle::core {

namespace {

constexpr std::size_t gone_remembered = 4096;
constexpr Seconds silence_beyond_lease{2};
constexpr Seconds beyond_list_lag{2};
// Beyond a cycle; a busy controller may be late by less.
constexpr Seconds own_standstill{2};
// Part of the time in which a cancelled job's tasks must be gone; then the machine is released.
constexpr double cancel_share = 0.6;
// Reports in a row that show none of the orders given: one answer may be lost on any network.
constexpr std::uint32_t reports_unheeded = 2;
// Of the machines that are heard but do not hear, this share may be given up within a lease; and
// two in any case. More at once are rather this controller's own trouble than theirs.
constexpr double share_given_up = 0.1;
constexpr std::size_t least_given_up = 2;

bool shows(const TaskCommand& command, const Heartbeat& heartbeat) {
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

Resources Machine::used() const {
    Resources sum = untracked_resources;
    for (const auto& [key, task] : held) sum += task.job->spec.need;
    return sum;
}

Machine* MachineInventory::find(const std::string& name) {
    const auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : &it->second;
}

void MachineInventory::set_type(Machine& machine) {
    const auto type = catalog_.find(machine.type_name);
    machine.type_known = type.has_value();
    if (type) machine.type = *type;
}

void MachineInventory::describe(Machine& machine, const std::string& name, const std::string& type,
                                const std::string& zone, bool spot) {
    machine.name = name;
    machine.type_name = type;
    set_type(machine);
    machine.zone = zone;
    machine.spot = spot;
}

void MachineInventory::catalog_changed() {
    for (auto& [name, machine] : machines_) set_type(machine);
}

void MachineInventory::load(const ListedMachine& record, std::uint64_t mod_revision,
                            TimePoint now) {
    auto& machine = machines_[record.name];
    describe(machine, record.name, record.type, record.zone, record.spot);
    machine.address = record.address;
    machine.durable = true;
    machine.mod_revision = mod_revision;
    machine.first_seen = machine.last_heartbeat = machine.idle_since = machine.loaded_at = now;
}

void MachineInventory::load_unreadable(const std::string& name, std::uint64_t mod_revision,
                                       TimePoint now) {
    load({name, {}, {}, {}, false, MachineStage::running, Seconds{0}}, mod_revision, now);
    machines_.at(name).unreadable = true;
}

Machine& MachineInventory::meet(const Heartbeat& heartbeat, TimePoint now) {
    auto [it, fresh] = machines_.try_emplace(heartbeat.machine);
    auto& machine = it->second;
    if (fresh) machine.first_seen = machine.idle_since = now;
    describe(machine, heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
    machine.address = heartbeat.address;
    return machine;
}

void MachineInventory::scaled_out(const ScaleOutRequest& request,
                                  const std::vector<std::string>& names, TimePoint now) {
    for (const auto& name : names) {
        if (gone_.contains(name)) continue;
        auto [it, fresh] = machines_.try_emplace(name);
        if (!fresh) continue;
        auto& machine = it->second;
        machine.cloud_knows = true;
        describe(machine, name, request.type, request.zone, request.spot);
        machine.first_seen = machine.last_heartbeat = machine.idle_since = now;
    }
}

void MachineInventory::listed(const std::vector<ListedMachine>& machines, TimePoint asked,
                              TimePoint now) {
    std::set<std::string_view> names;
    for (const auto& entry : machines) names.insert(entry.name);
    for (auto& [name, machine] : machines_)
        if (!names.contains(name) && asked > seen_in_list_by(machine)) machine.releasing = true;
    for (const auto& entry : machines) {
        if (gone_.contains(entry.name)) continue;
        if (entry.stage == MachineStage::failed) {
            // A failed entry proves that the machine has stopped. It is deleted below; until the
            // deletion is answered its tasks stay where they are, which costs one call.
            if (auto* machine = find(entry.name)) {
                machine->releasing = true;
                continue;
            }
        }
        auto [it, fresh] = machines_.try_emplace(entry.name);
        it->second.cloud_knows = true;
        if (it->second.address.empty()) it->second.address = entry.address;
        if (!fresh) continue;
        // A machine that nobody here asked for: a late rental, or one of a former steward.
        auto& machine = it->second;
        describe(machine, entry.name, entry.type, entry.zone, entry.spot);
        machine.first_seen = later(now, -entry.age);
        machine.last_heartbeat = machine.idle_since = now;
        if (entry.stage == MachineStage::failed) machine.releasing = true;
    }
}

// From when on it is in every list, if it is not gone. A machine that the cloud has taken, or that
// a former controller has returned, leaves the list long before the lease of its worker is over.
// Absence proves nothing, so its release is asked for; that it is answered does. Were the list
// wrong, a machine that nobody has heard of for as long would be lost, and no rule with it.
TimePoint MachineInventory::seen_in_list_by(const Machine& machine) const {
    const auto late = config_.list_lag * 2 + beyond_list_lag;
    // One that reports is not given up for a report or two that went astray.
    const auto silent = config_.workers.heartbeat * 2.5 + Seconds{1};
    return later(machine.last_heartbeat, machine.reported ? std::max(late, silent) : late);
}

void MachineInventory::observe(Machine& machine, const Heartbeat& heartbeat, By by, TimePoint now) {
    if (heartbeat.agent_epoch != machine.agent_epoch) {
        machine.unanswered.clear();
        machine.asked.clear();
        // Its lease ran out for want of answers while its reports came all the time, each of them
        // answered: it is heard and does not hear.
        const bool heard_throughout = machine.confirmed && machine.agent_epoch != 0 &&
                                      between(machine.heard_at, now) < config_.workers.lease / 2;
        if (heard_throughout && !machine.deaf_since) machine.deaf_since = now;
    }
    if (!machine.heard_since) machine.heard_since = now;
    machine.agent_epoch = heartbeat.agent_epoch;
    machine.sequence = heartbeat.sequence;
    machine.last_heartbeat = machine.heard_at = now;
    if (by == By::heartbeat || machine.heartbeat_at == TimePoint{}) machine.heartbeat_at = now;
    machine.reported = true;
    if (heartbeat.notice && !machine.taken_at) machine.taken_at = later(now, *heartbeat.notice);
    if (!heartbeat.notice) machine.taken_at.reset();
}

void MachineInventory::confirm(Machine& machine, TimePoint now) {
    if (!machine.confirmed) {
        // Its token rose.
        machine.idle_since = now;
        hears(machine);
    }
    machine.confirmed = true;
}

// Guard against a machine that draws all work to itself: no order reached it, its reports said that
// it was free, and every task was placed there again after each of them.
void MachineInventory::heed(Machine& machine, const Heartbeat& heartbeat, TimePoint now) {
    const auto asked = std::exchange(machine.asked, {});
    // A task of a gang that saves is reported as running until it exits, so a stop with time to
    // save that does not show says nothing.
    const auto telling = [](const TaskCommand& command) {
        return command.verb != TaskCommand::Verb::stop || command.grace <= Seconds{0};
    };
    if (std::none_of(asked.begin(), asked.end(), telling)) return;
    const bool any = std::any_of(asked.begin(), asked.end(), [&](const TaskCommand& command) {
        return telling(command) && shows(command, heartbeat);
    });
    if (any)
        hears(machine);
    else if (++machine.unheeded >= reports_unheeded && !machine.deaf_since)
        machine.deaf_since = now;
}

void MachineInventory::hears(Machine& machine) {
    machine.unheeded = 0;
    machine.deaf_since.reset();
}

// Heard all the time, and for longer than a lease without any sign that it hears. One that renewed
// its lease all the same hears something: its session is the same.
bool MachineInventory::out_of_reach(const Machine& machine, TimePoint now) const {
    if (machine.releasing || !machine.heard_since) return false;
    const auto patience = config_.workers.lease + silence_beyond_lease;
    if (!machine.confirmed) return between(later(*machine.heard_since, patience), now) > Seconds{0};
    return machine.deaf_since && machine.held.empty() &&
           between(*machine.deaf_since, now) > patience;
}

// Guard against charges without end, and against work of a former term that waits for ever: the
// reports of such a machine kept it alive, and nothing that it was told arrived.
void MachineInventory::release_out_of_reach(TimePoint now) {
    while (!given_up_.empty() && between(given_up_.front(), now) > config_.workers.lease)
        given_up_.pop_front();
    const auto most = std::max(
        least_given_up, static_cast<std::size_t>(
                            std::floor(static_cast<double>(machines_.size()) * share_given_up)));
    for (auto& [name, machine] : machines_) {
        if (given_up_.size() >= most) return;
        if (!out_of_reach(machine, now)) continue;
        machine.releasing = true;
        given_up_.push_back(now);
    }
}

// Guard against a fleet returned for its controller's own silence: one that had stood still for
// longer than a lease found that it had heard of no machine for as long.
void MachineInventory::keep_time(TimePoint now) {
    const auto last = std::exchange(kept_time_, now);
    if (!last) return;
    const auto paused = between(*last, now);
    if (paused < config_.cycle + own_standstill) return;
    for (auto& [name, machine] : machines_) {
        const auto moved = [&](TimePoint t) { return std::min(now, later(t, paused)); };
        machine.last_heartbeat = moved(machine.last_heartbeat);
        if (machine.heartbeat_at != TimePoint{}) machine.heartbeat_at = moved(machine.heartbeat_at);
        machine.first_seen = moved(machine.first_seen);
        machine.idle_since = moved(machine.idle_since);
        if (machine.unwanted_since) machine.unwanted_since = moved(*machine.unwanted_since);
        if (machine.loaded_at != TimePoint{}) machine.loaded_at = moved(machine.loaded_at);
        if (machine.heard_since) machine.heard_since = moved(*machine.heard_since);
        if (machine.deaf_since) machine.deaf_since = moved(*machine.deaf_since);
    }
}

void MachineInventory::watch(TimePoint now) {
    keep_time(now);
    release_out_of_reach(now);
    const auto lease = config_.workers.lease + silence_beyond_lease;
    for (auto& [name, machine] : machines_) {
        if (machine.releasing) continue;
        // A machine taken by the cloud, dead, hung or cut off: only an answered release proves
        // that nothing runs there, so it is asked for once the worker's lease must be over.
        const auto patience =
            machine.taken_at && *machine.taken_at < now ? config_.workers.heartbeat * 2 : lease;
        if (machine.reported && between(machine.last_heartbeat, now) > patience)
            machine.releasing = true;
        // Recorded by a former owner and not heard of since the takeover.
        if (machine.durable && !machine.reported && machine.loaded_at != TimePoint{} &&
            between(machine.loaded_at, now) > lease)
            machine.releasing = true;
        if (!machine.reported && machine.loaded_at == TimePoint{} && machine.type_known &&
            between(machine.first_seen, now) > catalog_[machine.type].boot * 3.5 + Seconds{10})
            machine.releasing = true;  // never came up
        if (machine.failing && machine.held.empty()) machine.releasing = true;
        // Guard against ran_cancelled: what cannot be reached must be gone in time.
        if (overdue(machine, now)) machine.releasing = true;
    }
}

bool MachineInventory::overdue(const Machine& machine, TimePoint now) const {
    // Nobody knows when these were cancelled; it was before they were seen.
    if (machine.orphaned_since &&
        between(*machine.orphaned_since, now) > config_.workers.cancel * cancel_share)
        return true;
    return std::any_of(machine.held.begin(), machine.held.end(), [&](const auto& entry) {
        const auto& job = *entry.second.job;
        return job.terminal_state == TerminalState::cancelled && job.cancelled_at != TimePoint{} &&
               between(job.cancelled_at, now) > config_.workers.cancel * cancel_share;
    });
}

void MachineInventory::remove(const std::string& name) {
    const auto it = machines_.find(name);
    if (it == machines_.end()) return;
    if (it->second.durable || it->second.mod_revision != 0)
        dropping_[name] = it->second.mod_revision;
    machines_.erase(it);
    if (gone_.insert(name).second) gone_order_.push_back(name);
    if (gone_order_.size() > gone_remembered) {
        gone_.erase(gone_order_.front());
        gone_order_.pop_front();
    }
}

bool MachineInventory::usable(const Machine& machine, TimePoint now) const {
    return machine.confirmed && machine.durable && machine.type_known && !machine.draining() &&
           !machine.deaf_since &&
           // Guard against a machine that draws work and loses it: direct calls reach it, and it
           // reaches no controller, so its lease ends.
           between(machine.heartbeat_at, now) < config_.workers.heartbeat * 2.5 + Seconds{1};
}

std::size_t MachineInventory::unconfirmed() const {
    return static_cast<std::size_t>(std::count_if(
        machines_.begin(), machines_.end(),
        [](const auto& entry) { return entry.second.durable && !entry.second.confirmed; }));
}

bool MachineInventory::in_doubt(const Job& job) const {
    if (job.accepted_here) return false;
    // Guard against ran_twice after a takeover: the former owner may have started this job's
    // tasks on any recorded machine that has not shown the new token yet.
    return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
        const auto& machine = entry.second;
        return machine.durable && !machine.confirmed &&
               (machine.unreadable ||
                allowed(job.spec, machine.type_name, machine.zone, machine.spot));
    });
}

void MachineInventory::note_image(Machine& machine, const Job& job) {
    if (job.image == 0 || !machine.type_known) return;
    auto& images = machine.images;
    if (!images.empty() && images.back().id == job.image) return;
    std::erase_if(images, [&](const auto& entry) { return entry.id == job.image; });
    images.push_back({job.image, job.spec.image_gb});
    double total = 0;
    for (const auto& entry : images) total += entry.gb;
    while (total > catalog_[machine.type].cache_gb && !images.empty()) {
        total -= images.front().gb;
        images.erase(images.begin());
    }
}

void MachineInventory::recorded(const std::string& name, std::uint64_t mod_revision) {
    if (auto* machine = find(name)) {
        machine->durable = true;
        machine->mod_revision = mod_revision;
    } else {
        dropping_[name] = mod_revision;  // returned while its record was being written
    }
}

void MachineInventory::set_mod_revision(const std::string& name, std::uint64_t mod_revision) {
    if (auto* machine = find(name)) machine->mod_revision = mod_revision;
}

void MachineInventory::set_dropped_mod_revision(const std::string& name,
                                                std::uint64_t mod_revision) {
    if (mod_revision == 0)
        dropping_.erase(name);
    else if (const auto it = dropping_.find(name); it != dropping_.end())
        it->second = mod_revision;
}

}  // namespace bendspindle::core
