/// Owner of the machines: which machines exist, what is known of each, and what proves that one is
/// gone.
///
/// Called by `Controller` and by reconciliation, which passes on agent messages; read by scheduling
/// and autoscaling. Not thread-safe: the caller of the controller holds its lock.
///
///  - The fencing token is the leader's term. A machine is fenced (*confirmed*) once one of its own
///    messages carries that token. From then on its task list is authoritative (docs/design.md,
///    "Placing anew").
///  - Only `remove` deletes a machine, and only after its release is confirmed.
///  - The two directions of the network are tracked separately. A heartbeat proves that messages
///    from the machine arrive. Only evidence that cannot exist otherwise proves that messages to
///    the machine arrive: a raised fencing token, a command reflected in the next heartbeat, or an
///    answered direct call (docs/failure-modes.md).
///  - `Machine::assigned_tasks` indexes the assignments of jobs; `JobTable` changes both together.
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

/// All machines, indexed by name. References to a machine stay valid until it is removed.
class MachineInventory {
  public:
    /// Both references must outlive the inventory.
    MachineInventory(const Config& config, const MachineCatalog& catalog)
        : config_(config), catalog_(catalog) {}

    /// Returns all machines, indexed by name.
    std::map<std::string, Machine>& all() { return machines_; }
    const std::map<std::string, Machine>& all() const { return machines_; }
    /// Requires that the machine exists.
    Machine& at(const std::string& name) { return machines_.at(name); }
    const Machine& at(const std::string& name) const { return machines_.at(name); }
    /// Returns null if there is no such machine.
    [[nodiscard]] Machine* find(const std::string& name);

    /// Looks up the types of all machines again after a change of the catalog.
    void catalog_changed();

    // Sources of machines.

    /// Adds a machine from its record after a failover.
    void load(const ListedMachine& record, std::uint64_t mod_revision, TimePoint now);
    /// Adds a machine whose record is unreadable except for its name. It may run any task until it
    /// is fenced or gone.
    void load_unreadable(const std::string& name, std::uint64_t mod_revision, TimePoint now);
    /// Adds or updates a machine from a heartbeat, which also describes the machine.
    Machine& add_or_update(const Heartbeat& heartbeat, TimePoint now);
    /// Adds machines from the cloud's response to a scale-out.
    void scaled_out(const ScaleOutRequest& request, const std::vector<std::string>& names,
                    TimePoint now);
    /// Applies the complete list of the cloud, which was requested at `asked`. Marks machines for
    /// release that are missing from the list although they should be on it.
    void apply_cloud_list(const std::vector<ListedMachine>& machines, TimePoint asked,
                          TimePoint now);

    /// How a message of a machine arrived: as a heartbeat, or in the answer to a direct call.
    enum class Origin : std::uint8_t { heartbeat, direct_call };
    /// Applies what a message says about the machine itself. The message must be newer than any
    /// applied before.
    void observe(Machine& machine, const Heartbeat& heartbeat, Origin origin, TimePoint now);
    /// Marks the machine as fenced after a message with `fencing_token`, which is of this term.
    void confirm(Machine& machine, std::uint64_t fencing_token, TimePoint now);
    /// Compares a new heartbeat with the commands in the response to the previous one.
    void check_acknowledgements(Machine& machine, const Heartbeat& heartbeat, TimePoint now);
    /// Records proof that messages to the machine arrive.
    static void mark_reachable(Machine& machine);

    /// Moves the times of contact forward by a pause of this controller, so that no machine counts
    /// as silent because of it. Must be called at least once a cycle, before any timeout is
    /// evaluated.
    void compensate_for_own_pause(TimePoint now);
    /// Marks machines for release that are silent, failed to boot, are at fault, or run tasks that
    /// must be gone.
    void update_health(TimePoint now);
    /// Returns whether the machine runs tasks that were cancelled so long ago that it must be
    /// released unconditionally.
    [[nodiscard]] bool must_be_released(const Machine& machine, TimePoint now) const;
    /// Removes a machine whose release is confirmed. Later messages from it are ignored.
    void remove(const std::string& name);
    /// Returns whether the machine was removed. Only the most recent removals are remembered.
    [[nodiscard]] bool removed(const std::string& name) const { return removed_.contains(name); }

    /// Returns whether tasks may be placed and started on the machine.
    [[nodiscard]] bool usable(const Machine& machine, TimePoint now) const;
    /// Returns whether the machine is usable or is expected to become so: it boots, is yet to be
    /// fenced or recorded, or has missed a few heartbeats. Each of these ends soon, or the machine
    /// is released.
    [[nodiscard]] bool is_capacity(const Machine& machine, TimePoint now) const;
    /// Returns whether the constraints of the job allow the machine's type, zone and spot status.
    [[nodiscard]] bool allows(const JobSpec& spec, const Machine& machine) const {
        const auto& identity = machine.identity;
        return identity.type_known &&
               allowed(spec, identity.type_name, identity.zone, identity.spot);
    }
    /// Returns whether a job of an older term may have tasks on machines that are not fenced yet.
    [[nodiscard]] bool may_have_unfenced_tasks(const Job& job) const;
    /// Returns the number of recorded machines that have not reported this term's fencing token.
    [[nodiscard]] std::size_t unfenced_machine_count() const;
    /// Records that the machine has cached the job's image. Images that no longer fit into the
    /// cache are assumed to be evicted.
    void add_cached_image(Machine& machine, const Job& job);

    /// Returns whether the machine certainly exists. A heartbeat alone does not prove that: it may
    /// be a delayed copy from a machine that a former leader has released.
    [[nodiscard]] static bool certainly_exists(const Machine& machine) {
        return machine.record.durable || machine.fencing.confirmed ||
               machine.lifecycle.known_to_cloud;
    }

    // Records in the key-value store.

    /// Returns whether a record of the machine has to be written. Guard against recording a machine
    /// that is gone: a copy of an old heartbeat added a machine again, and jobs of the former term
    /// waited until it was fenced.
    [[nodiscard]] bool needs_record(const Machine& machine) const {
        return !machine.record.durable && !machine.lifecycle.releasing &&
               machine.identity.type_known && machine.contact.has_reported &&
               certainly_exists(machine);
    }
    /// Returns the removed machines whose records have yet to be deleted, with the mod_revisions of
    /// the records.
    const std::map<std::string, std::uint64_t>& records_to_delete() const {
        return pending_record_deletions_;
    }
    /// Records that the record of the machine was written.
    void mark_recorded(const std::string& name, std::uint64_t mod_revision);
    /// Records that the record of a removed machine was deleted.
    void mark_record_deleted(const std::string& name) { pending_record_deletions_.erase(name); }
    /// Sets the actual mod_revision of a record, where it differs from the expected one.
    void set_mod_revision(const std::string& name, std::uint64_t mod_revision);
    /// Sets the actual mod_revision of a removed machine's record. 0 means that the record no
    /// longer exists.
    void set_deleted_record_mod_revision(const std::string& name, std::uint64_t mod_revision);

  private:
    TimePoint listed_after(const Machine& machine) const;
    bool is_unreachable(const Machine& machine, TimePoint now) const;
    void release_unreachable(TimePoint now);
    bool is_silent(const Machine& machine, TimePoint now) const;
    bool boot_timed_out(const Machine& machine, TimePoint now) const;
    void set_type(MachineIdentity& identity) const;
    void set_identity(Machine& machine, const std::string& name, const std::string& type,
                      const std::string& zone, bool spot) const;

    const Config& config_;
    const MachineCatalog& catalog_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, std::uint64_t> pending_record_deletions_;
    std::optional<TimePoint> last_check_;            // time of the last `compensate_for_own_pause`
    std::deque<TimePoint> unreachable_released_at_;  // within the last lease
    std::set<std::string> removed_;                  // the most recent removals, bounded in number
    std::deque<std::string> removed_order_;
};

}  // namespace bendspindle::core
