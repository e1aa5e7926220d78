#include "state/leader_loader.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "io/log.hpp"
#include "state/keys.hpp"
#include "wire/records.hpp"

namespace bendspindle::state {

namespace {

using Clock = std::chrono::steady_clock;

void load_machine(const wire::Entry& entry, core::Controller& controller, core::TimePoint now) {
    const auto name = entry.key.substr(std::string(keys::machines).size());
    const auto machine = wire::parse_machine_record(name, entry.value);
    // Guards against a permanent lack of a leader: one unreadable record kept every controller from
    // loading. A machine without a readable record is released once its agent reports
    // (`MachineInventory::update_health`); its record is left unchanged.
    if (!machine) {
        io::log::error("record_quarantined", "key", entry.key);
        controller.load_unreadable_machine(name, entry.mod_revision, now);
        return;
    }
    controller.load_machine(*machine, entry.mod_revision, now);
}

using LoadedJobs = std::vector<std::pair<core::JobRecord, std::uint64_t>>;

// Returns the jobs by submission time, oldest first. An unreadable record is left unchanged and its
// user gets an error; all others are loaded.
LoadedJobs parse_jobs(const std::vector<wire::Entry>& entries, core::Controller& controller) {
    LoadedJobs records;
    for (const auto& entry : entries) {
        auto record = wire::parse_job_record(entry.value);
        if (!record) {
            io::log::error("record_quarantined", "key", entry.key);
            controller.quarantine(entry.key.substr(std::string(keys::jobs).size()));
            continue;
        }
        records.emplace_back(std::move(*record), entry.mod_revision);
    }
    std::sort(records.begin(), records.end(),
              [](const auto& a, const auto& b) { return a.first.submitted < b.first.submitted; });
    return records;
}

}  // namespace

std::optional<std::uint64_t> load_records(KeyValueStore& store, core::Controller& controller) {
    const auto machines = store.list(keys::machines);
    if (machines.outcome != StoreStatus::ok) return std::nullopt;
    const auto now = Clock::now();
    for (const auto& entry : machines.entries) load_machine(entry, controller, now);
    const auto jobs = store.list(keys::jobs);
    if (jobs.outcome != StoreStatus::ok) return std::nullopt;
    for (const auto& [record, mod_revision] : parse_jobs(jobs.entries, controller))
        controller.load_job(record, mod_revision, Clock::now());
    return jobs.revision;
}

}  // namespace bendspindle::state
