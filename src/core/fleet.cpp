#include "core/fleet.hpp"

#include <algorithm>

namespace bendspindle::core {

namespace {

constexpr std::size_t gone_remembered = 4096;
constexpr Seconds silence_beyond_lease{2};
constexpr Seconds beyond_list_lag{2};
// Part of the time in which a cancelled job's tasks must be gone; then the machine is released.
constexpr double cancel_share = 0.6;

}  // namespace

Resources Machine::used() const {
    Resources sum = strays;
    for (const auto& [key, task] : held) sum += task.job->spec.need;
    return sum;
}

Machine* Fleet::find(const std::string& name) {
    const auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : &it->second;
}

void Fleet::set_type(Machine& machine) {
    const auto type = catalog_.find(machine.type_name);
    machine.type_known = type.has_value();
    if (type) machine.type = *type;
}

void Fleet::describe(Machine& machine, const std::string& name, const std::string& type,
                     const std::string& zone, bool spot) {
    machine.name = name;
    machine.type_name = type;
    set_type(machine);
    machine.zone = zone;
    machine.spot = spot;
}

void Fleet::catalog_changed() {
    for (auto& [name, machine] : machines_) set_type(machine);
}

void Fleet::load(const ListedMachine& record, std::uint64_t stamp, TimePoint now) {
    auto& machine = machines_[record.name];
    describe(machine, record.name, record.type, record.zone, record.spot);
    machine.address = record.address;
    machine.durable = true;
    machine.stamp = stamp;
    machine.first_seen = machine.last_report = machine.idle_since = machine.loaded_at = now;
}

Machine& Fleet::meet(const Report& report, TimePoint now) {
    auto [it, fresh] = machines_.try_emplace(report.machine);
    auto& machine = it->second;
    if (fresh) machine.first_seen = machine.idle_since = now;
    describe(machine, report.machine, report.type, report.zone, report.spot);
    machine.address = report.address;
    return machine;
}

void Fleet::rented(const RentRequest& request, const std::vector<std::string>& names,
                   TimePoint now) {
    for (const auto& name : names) {
        if (gone_.contains(name)) continue;
        auto [it, fresh] = machines_.try_emplace(name);
        if (!fresh) continue;
        auto& machine = it->second;
        describe(machine, name, request.type, request.zone, request.spot);
        machine.first_seen = machine.last_report = machine.idle_since = now;
    }
}

void Fleet::listed(const std::vector<ListedMachine>& machines, TimePoint asked, TimePoint now) {
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
        if (it->second.address.empty()) it->second.address = entry.address;
        if (!fresh) continue;
        // A machine that nobody here asked for: a late rental, or one of a former steward.
        auto& machine = it->second;
        describe(machine, entry.name, entry.type, entry.zone, entry.spot);
        machine.first_seen = later(now, -entry.age);
        machine.last_report = machine.idle_since = now;
        if (entry.stage == MachineStage::failed) machine.releasing = true;
    }
}

// From when on it is in every list, if it is not gone. A machine that the cloud has taken, or that a
// former controller has returned, leaves the list long before the lease of its worker is over.
// Absence proves nothing, so its release is asked for; that it is answered does. Were the list wrong,
// a machine that nobody has heard of for as long would be lost, and no rule with it.
TimePoint Fleet::seen_in_list_by(const Machine& machine) const {
    const auto late = config_.list_lag * 2 + beyond_list_lag;
    // One that reports is not given up for a report or two that went astray.
    const auto silent = config_.workers.report * 2.5 + Seconds{1};
    return later(machine.last_report, machine.reported ? std::max(late, silent) : late);
}

void Fleet::observe(Machine& machine, const Report& report, TimePoint now) {
    if (report.session != machine.session) machine.unanswered.clear();
    machine.session = report.session;
    machine.seq = report.seq;
    machine.last_report = now;
    machine.reported = true;
    if (report.notice && !machine.taken_at) machine.taken_at = later(now, *report.notice);
    if (!report.notice) machine.taken_at.reset();
}

void Fleet::confirm(Machine& machine, TimePoint now) {
    if (!machine.confirmed) machine.idle_since = now;
    machine.confirmed = true;
}

void Fleet::watch(TimePoint now) {
    const auto lease = config_.workers.lease + silence_beyond_lease;
    for (auto& [name, machine] : machines_) {
        if (machine.releasing) continue;
        // A machine taken by the cloud, dead, hung or cut off: only an answered release proves
        // that nothing runs there, so it is asked for once the worker's lease must be over.
        const auto patience =
            machine.taken_at && *machine.taken_at < now ? config_.workers.report * 2 : lease;
        if (machine.reported && between(machine.last_report, now) > patience)
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
        for (const auto& [key, task] : machine.held) {
            const auto& job = *task.job;
            if (job.final != Final::cancelled || job.cancelled_at == TimePoint{}) continue;
            if (between(job.cancelled_at, now) > config_.workers.cancel * cancel_share)
                machine.releasing = true;
        }
    }
}

void Fleet::remove(const std::string& name) {
    const auto it = machines_.find(name);
    if (it == machines_.end()) return;
    if (it->second.durable || it->second.stamp != 0) dropping_[name] = it->second.stamp;
    machines_.erase(it);
    if (gone_.insert(name).second) gone_order_.push_back(name);
    if (gone_order_.size() > gone_remembered) {
        gone_.erase(gone_order_.front());
        gone_order_.pop_front();
    }
}

bool Fleet::usable(const Machine& machine, TimePoint now) const {
    return machine.confirmed && machine.durable && machine.type_known && !machine.draining() &&
           between(machine.last_report, now) < config_.workers.report * 2.5 + Seconds{1};
}

std::size_t Fleet::unconfirmed() const {
    return static_cast<std::size_t>(std::count_if(
        machines_.begin(), machines_.end(),
        [](const auto& entry) { return entry.second.durable && !entry.second.confirmed; }));
}

bool Fleet::in_doubt(const Job& job) const {
    if (job.accepted_here) return false;
    // Guard against ran_twice after a takeover: the former owner may have started this job's
    // tasks on any recorded machine that has not shown the new token yet.
    return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
        const auto& machine = entry.second;
        return machine.durable && !machine.confirmed &&
               allowed(job.spec, machine.type_name, machine.zone, machine.spot);
    });
}

void Fleet::note_image(Machine& machine, const Job& job) {
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

void Fleet::recorded(const std::string& name, std::uint64_t stamp) {
    if (auto* machine = find(name)) {
        machine->durable = true;
        machine->stamp = stamp;
    } else {
        dropping_[name] = stamp;  // returned while its record was being written
    }
}

void Fleet::restamp(const std::string& name, std::uint64_t stamp) {
    if (auto* machine = find(name)) machine->stamp = stamp;
}

void Fleet::restamp_dropping(const std::string& name, std::uint64_t stamp) {
    if (stamp == 0)
        dropping_.erase(name);
    else if (const auto it = dropping_.find(name); it != dropping_.end())
        it->second = stamp;
}

}  // namespace bendspindle::core
