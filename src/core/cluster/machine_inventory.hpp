/// Owner of the machines: which there are, what is known of each, and what proves that one is gone.
///
/// Called by `Controller` and by reconciliation, which hands in what machines say; read by
/// scheduling and autoscaling. Not thread-safe: the controller's caller holds its lock.
///
///  - The fencing token is the leader's term. A machine is fenced (*confirmed*) once a message of
///    its own shows it; from then on its task list is the truth (docs/design.md, "Placing anew").
///  - Only `remove` takes a machine out, and only an answered release leads there.
///  - The two directions of the network are two facts. A heartbeat proves that the machine's
///    messages arrive. That ours arrive is proved only by what could not be there otherwise: a
///    fencing token that rose, a command that shows in its next heartbeat, an answered direct call
///    (docs/failure-modes.md).
///  - `Machine::assigned_tasks` indexes the jobs' assignments; `JobTable` changes both together.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/cluster/job.hpp"
#include "core/cluster/machine.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/config.hpp"
#include "core/model/heartbeat.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/listed_machine.hpp"
#include "core/model/scale_out_request.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// All machines, by name. References to a machine hold until it is removed.
class MachineInventory {
  public:
    /// Both references must outlive the inventory.
    MachineInventory(const Config& config, const MachineCatalog& catalog)
        : config_(config), catalog_(catalog) {}

    /// By name.
    std::map<std::string, Machine>& all() { return machines_; }
    const std::map<std::string, Machine>& all() const { return machines_; }
    /// The machine must be there.
    Machine& at(const std::string& name) { return machines_.at(name); }
    const Machine& at(const std::string& name) const { return machines_.at(name); }
    /// Null where there is no such machine.
    [[nodiscard]] Machine* find(const std::string& name);

    /// Looks up every machine's type again.
    void catalog_changed();

    // Ways in which machines become known.

    /// From its record, after a failover.
    void load(const ListedMachine& record, std::uint64_t mod_revision, TimePoint now);
    /// Its name is all that could be read: until it is fenced or gone it may hold anything.
    void load_unreadable(const std::string& name, std::uint64_t mod_revision, TimePoint now);
    /// From a heartbeat, which also says what it is now.
    Machine& record_sighting(const Heartbeat& heartbeat, TimePoint now);
    /// From the cloud's answer to a scale-out.
    void scaled_out(const ScaleOutRequest& request, const std::vector<std::string>& names,
                    TimePoint now);
    /// From the cloud's whole list, asked for at `asked`. Machines missing from it that should be
    /// there are marked for release.
    void listed(const std::vector<ListedMachine>& machines, TimePoint asked, TimePoint now);

    /// How a machine's message came: unprompted, or as the answer to a direct call.
    enum class Origin : std::uint8_t { heartbeat, direct_call };
    /// Takes over what a message newer than any before says of the machine itself.
    void observe(Machine& machine, const Heartbeat& heartbeat, Origin origin, TimePoint now);
    /// Its message has shown this term's fencing token.
    void confirm(Machine& machine, TimePoint now);
    /// Compares a newer heartbeat with what the response to the one before commanded.
    void check_acknowledgements(Machine& machine, const Heartbeat& heartbeat, TimePoint now);
    /// It has shown that a message of ours arrived.
    static void mark_reachable(Machine& machine);

    /// Called at least once a cycle, before time is judged by: a longer pause is this controller's
    /// own, and no machine's silence.
    void keep_time(TimePoint now);
    /// Marks for release what is silent, never came up, is at fault, or holds what must be gone.
    void update_health(TimePoint now);
    /// Whether it holds tasks cancelled so long ago that the machine must go, whatever else holds.
    [[nodiscard]] bool must_be_released(const Machine& machine, TimePoint now) const;
    /// Its release was answered: it is gone, and stays so whatever arrives from it later.
    void remove(const std::string& name);
    /// Whether it was removed, as far as that is remembered.
    [[nodiscard]] bool removed(const std::string& name) const { return removed_.contains(name); }

    /// Whether tasks may be placed and started on it.
    [[nodiscard]] bool usable(const Machine& machine, TimePoint now) const;
    /// Whether the job's user allows this machine's type, zone and kind.
    [[nodiscard]] bool allows(const JobSpec& spec, const Machine& machine) const {
        const auto& identity = machine.identity;
        return identity.type_known &&
               allowed(spec, identity.type_name, identity.zone, identity.spot);
    }
    /// Whether a job of an older term may have tasks on machines that are not fenced yet.
    [[nodiscard]] bool may_have_unfenced_tasks(const Job& job) const;
    /// Number of recorded machines that have not shown this term's fencing token.
    [[nodiscard]] std::size_t unconfirmed() const;
    /// The machine has the job's image now; what no longer fits its cache is taken to be evicted.
    void note_image(Machine& machine, const Job& job);

    /// Whether it exists for certain, and not only in a heartbeat, which may be the late copy of
    /// one from a machine that a former leader has released.
    [[nodiscard]] static bool certainly_exists(const Machine& machine) {
        return machine.record.durable || machine.fencing.confirmed ||
               machine.lifecycle.known_to_cloud;
    }

    // Records in the key-value store.

    /// Whether a record is to be written. Guard against a record for nothing: a copy of an old
    /// heartbeat made a machine again, and work of the former term waited until it was fenced.
    [[nodiscard]] bool wants_record(const Machine& machine) const {
        return !machine.record.durable && !machine.lifecycle.releasing &&
               machine.identity.type_known && machine.contact.has_reported &&
               certainly_exists(machine);
    }
    /// Removed machines whose records are still to be deleted, with the records' mod_revisions.
    const std::map<std::string, std::uint64_t>& records_to_drop() const { return dropping_; }
    /// The machine's record was written.
    void recorded(const std::string& name, std::uint64_t mod_revision);
    /// The removed machine's record was deleted.
    void record_dropped(const std::string& name) { dropping_.erase(name); }
    /// The record's mod_revision is another than assumed.
    void set_mod_revision(const std::string& name, std::uint64_t mod_revision);
    /// Of a removed machine's record. `mod_revision` 0: there is no record any more.
    void set_dropped_mod_revision(const std::string& name, std::uint64_t mod_revision);

  private:
    TimePoint must_be_listed_from(const Machine& machine) const;
    bool is_unreachable(const Machine& machine, TimePoint now) const;
    void release_unreachable(TimePoint now);
    bool is_silent(const Machine& machine, TimePoint now) const;
    bool never_came_up(const Machine& machine, TimePoint now) const;
    void set_type(MachineIdentity& identity) const;
    void describe(Machine& machine, const std::string& name, const std::string& type,
                  const std::string& zone, bool spot) const;

    const Config& config_;
    const MachineCatalog& catalog_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, std::uint64_t> dropping_;
    std::optional<TimePoint> last_check_;            // of `keep_time`
    std::deque<TimePoint> unreachable_released_at_;  // within the last lease
    std::set<std::string> removed_;                  // a bounded number, the newest
    std::deque<std::string> removed_order_;
};

}  // namespace bendspindle::core
