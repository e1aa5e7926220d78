/// A machine as known to the leader, grouped into members by reason for change.
///
/// Owned by `MachineInventory`; read by placement, preemption, quota accounting and autoscaling.
/// Written by the inventory, by `JobTable` (`assigned_tasks`, together with the assignments of
/// jobs), by reconciliation (`reported_tasks`, `untracked`, `failures`, `direct_calls`) and by the
/// autoscaler (the scale-in fields of `lifecycle`). Plain data without locks: one thread at a time.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/cluster/job.hpp"
#include "core/model/heartbeat.hpp"
#include "core/model/image.hpp"
#include "core/model/resources.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// Identifies a task while its job is in memory.
struct TaskKey {
    std::uint64_t job_serial = 0;
    std::uint32_t index = 0;
    auto operator<=>(const TaskKey&) const = default;
};

/// A task that is assigned to a machine. Both pointers are valid as long as the entry exists:
/// `JobTable::unassign` removes the assignment and the entry together. The pointers avoid lookups,
/// because the list of a machine is iterated far more often than it changes.
struct AssignedTask {
    Job* job = nullptr;
    Assignment* assignment = nullptr;
};

/// An image in the cache of a machine.
struct CachedImage {
    ImageId id = 0;
    double gb = 0;
};

/// Static properties of a machine. `type` is an index into the catalog and valid only if
/// `type_known`.
struct MachineIdentity {
    std::string name;
    std::string address;  // empty until known; no direct call is made before
    std::size_t type = 0;
    bool type_known = false;
    std::string type_name;
    std::string zone;
    bool spot = false;
};

/// State of the machine's record in the key-value store.
struct MachineRecordState {
    bool durable = false;     // the record exists: starts may be commanded
    bool unreadable = false;  // until the machine is fenced, any task may run on it
    std::uint64_t mod_revision = 0;
};

/// Fencing state of the machine in this term, and the position of its newest message.
/// (`agent_epoch`, `sequence`) never decreases while the machine is known: older messages are not
/// applied.
struct MachineFencing {
    bool confirmed = false;  // a message of the machine has carried a fencing token of this term
    std::uint32_t token_generation = 0;  // of the token that messages to the machine carry
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
};

/// Times of contact. `last_contact` and `last_unprompted_at` are moved forward by pauses of this
/// controller (`MachineInventory::compensate_for_own_pause`); `last_message_at` never is.
struct MachineContact {
    bool has_reported = false;  // has sent any message in this term
    TimePoint first_seen{};
    TimePoint last_contact{};
    TimePoint last_message_at{};
    // Last heartbeat, or the first direct-call answer if none came before.
    TimePoint last_unprompted_at{};
    TimePoint loaded_at{};  // when its record was loaded; unset if not loaded from a record
};

/// Whether messages to the machine arrive. Messages from the machine prove nothing about the other
/// direction: the network may be partitioned one way (docs/failure-modes.md).
struct MachineReachability {
    std::optional<TimePoint> first_heartbeat_at;  // in this term
    // Messages from the machine arrive, but apparently none to it.
    std::optional<TimePoint> inbound_unreachable_since;
    // Commands in the response to the last heartbeat, kept until the next heartbeat shows whether
    // the response arrived.
    std::vector<TaskCommand> outstanding_commands;
    // Consecutive heartbeats that reflected none of the commands sent.
    std::uint32_t unacknowledged_commands = 0;
};

/// State of direct calls to the machine; at most one is in progress.
struct MachineDirectCalls {
    bool in_progress = false;
    TimePoint last_call_at{};
    // Starts were sent with the machine's present token. Answered or not, a copy of their call may
    // still arrive, and the agent executes it unless it lists the attempt or has seen a higher
    // token.
    bool starts_under_present_token = false;
};

/// Tasks in the last task list that have no assignment.
struct UntrackedTasks {
    // In use by these tasks; all free resources if unknown. An exited task uses only the space of
    // its entry in the heartbeat.
    Resources resources;
    // Of the exited tasks that are not acknowledged because the record of their job is unreadable.
    double unacknowledgeable_bytes = 0;
    bool has_unknown_tasks = false;      // of orphaned or quarantined jobs
    bool has_quarantined_tasks = false;  // running tasks of quarantined jobs, which are left alone
    // Since when the machine has had orphaned tasks, whose jobs were in a terminal state before
    // this term.
    std::optional<TimePoint> orphaned_since;
    TimePoint orphans_stopped_at{};  // when a direct call last carried stops for orphaned tasks
};

/// Failures that are attributed to the machine (`FailureAttribution`).
struct MachineFailures {
    // Jobs of which a task has failed on this machine since a task last completed there. The weight
    // is 1, or less for suspect jobs.
    std::map<std::string, double> weight_by_job;
    bool at_fault = false;  // receives no more tasks, and is released once empty
};

/// Lifecycle from scale-out to release.
struct MachineLifecycle {
    bool known_to_cloud = false;  // scaled out or listed by the cloud in this term
    // Never reset; the machine is removed only once its release is confirmed.
    bool releasing = false;
    std::optional<TimePoint> reclaim_at;  // from a spot notice: when the cloud reclaims the machine
    TimePoint idle_since{};
    std::optional<TimePoint> surplus_since;  // since when the scaling plan has not needed it
    bool draining_for_scale_in = false;      // receives no more tasks, and is released once empty
};

/// A machine that exists or may exist. It is kept until the cloud has confirmed its release.
struct Machine {
    MachineIdentity identity;
    MachineRecordState record;
    MachineFencing fencing;
    MachineContact contact;
    MachineReachability reachability;
    MachineDirectCalls direct_calls;
    MachineLifecycle lifecycle;
    MachineFailures failures;
    UntrackedTasks untracked;
    std::vector<ReportedTask> reported_tasks;  // from the last task list
    /// Index of the assignments of jobs to this machine; `JobTable` changes both together.
    std::map<TaskKey, AssignedTask> assigned_tasks;
    std::vector<CachedImage> cached_images;  // most recently used last

    /// Returns whether the machine receives no new tasks and its tasks have to leave.
    [[nodiscard]] bool draining() const {
        return lifecycle.releasing || failures.at_fault || lifecycle.reclaim_at.has_value();
    }
    /// Returns the resources in use, including those of bound and untracked tasks.
    [[nodiscard]] Resources used() const;
    /// Returns whether the heartbeat is no newer than one already applied, by agent epoch and
    /// sequence.
    [[nodiscard]] bool has_seen(const Heartbeat& heartbeat) const {
        return std::pair(heartbeat.agent_epoch, heartbeat.sequence) <=
               std::pair(fencing.agent_epoch, fencing.sequence);
    }
};

}  // namespace bendspindle::core
