/// One machine as the leader knows it, cut into the parts that change for the same reason.
///
/// Owned by `MachineInventory`; read by placement, preemption, quota accounting and autoscaling.
/// Written by the inventory, by `JobTable` (`assigned_tasks`, together with the jobs' assignments),
/// by reconciliation (`reported_tasks`, `untracked`, `failures`, `direct_calls`) and by the
/// autoscaler (the scale-in fields of `lifecycle`). Plain data without locks: one thread at a time.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/cluster/job.hpp"
#include "core/model/heartbeat.hpp"
#include "core/model/image.hpp"
#include "core/model/resources.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// Names a task for as long as its job is in memory.
struct TaskKey {
    std::uint64_t job_serial = 0;
    std::uint32_t index = 0;
    auto operator<=>(const TaskKey&) const = default;
};

/// A task that is assigned to a machine. Both pointers are valid as long as the entry is:
/// `JobTable::unassign` removes the assignment and the entry together. They are kept because a
/// machine's list is walked far more often than it changes.
struct AssignedTask {
    Job* job = nullptr;
    Assignment* assignment = nullptr;
};

/// An image in a machine's cache.
struct CachedImage {
    ImageId id = 0;
    double gb = 0;
};

/// What the machine is. `type` indexes the catalog and means something only while `type_known`.
struct MachineIdentity {
    std::string name;
    std::string address;  // empty until it is known; no direct call goes out before
    std::size_t type = 0;
    bool type_known = false;
    std::string type_name;
    std::string zone;
    bool spot = false;
};

/// Its record in the key-value store.
struct MachineRecordState {
    bool durable = false;     // the record is there: starts may be commanded
    bool unreadable = false;  // until the machine is fenced, anything may run on it
    std::uint64_t mod_revision = 0;
};

/// Whether it is fenced in this term, and its newest message. (`agent_epoch`, `sequence`) never
/// goes back while the machine is known: an older message is not taken over.
struct MachineFencing {
    bool confirmed = false;  // a message of its own has shown this term's fencing token
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
};

/// When it was in contact. `last_contact` and `last_unprompted_at` are moved forward over pauses of
/// this controller (`MachineInventory::keep_time`); `last_message_at` never is.
struct MachineContact {
    bool has_reported = false;  // any message in this term
    TimePoint first_seen{};
    TimePoint last_contact{};
    TimePoint last_message_at{};
    TimePoint last_unprompted_at{};  // its last heartbeat, or the first answer if none came before
    TimePoint loaded_at{};           // when its record was loaded; unset: not from a record
};

/// Whether messages to it arrive. That its own arrive proves nothing of the other direction: a
/// one-way partition (docs/failure-modes.md).
struct MachineReachability {
    std::optional<TimePoint> first_heartbeat_at;  // in this term
    // Its messages arrive, and by all signs none of ours does.
    std::optional<TimePoint> inbound_unreachable_since;
    // What the response to its last heartbeat commanded, until the next shows whether it arrived.
    std::vector<TaskCommand> outstanding_commands;
    std::uint32_t unacknowledged_commands = 0;  // heartbeats in a row that showed none of them
};

/// Direct calls to its address; one at a time.
struct MachineDirectCalls {
    bool in_progress = false;
    TimePoint last_call_at{};
    // Job and attempt of starts whose call was never answered: a late copy may still arrive, and
    // would run the task again had the agent acknowledged and forgotten the attempt.
    std::set<std::pair<std::string, std::uint64_t>> unanswered_starts;
};

/// What the last task list shows beyond the assignments.
struct UntrackedTasks {
    Resources resources;             // that they take; all that is free, where it is not known
    bool has_unknown_tasks = false;  // of orphaned or quarantined jobs
    // Orphaned tasks: their jobs were in a terminal state before this term.
    std::optional<TimePoint> orphaned_since;
    TimePoint orphans_stopped_at{};  // when a direct call last carried stops for them
};

/// Failures that speak against the machine (`FailureAttribution`).
struct MachineFailures {
    // Jobs of which a task failed here since a task last completed: 1 each, less for jobs that fail
    // everywhere.
    std::map<std::string, double> weight_by_job;
    bool at_fault = false;  // takes no more tasks, and is released when empty
};

/// From scale-out to release.
struct MachineLifecycle {
    bool known_to_cloud = false;  // scaled out or listed in this term
    bool releasing = false;       // never taken back: only the answered release removes the machine
    std::optional<TimePoint> reclaim_at;  // spot notice: when the cloud takes it
    TimePoint idle_since{};
    std::optional<TimePoint> surplus_since;  // planning has had no use for it
    bool draining_for_scale_in = false;      // takes no more tasks, and is released when empty
};

/// A machine that exists, or may: it stays until its release was answered.
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
    std::vector<ReportedTask> reported_tasks;  // of its last task list
    /// Index into the jobs' assignments; `JobTable` changes both together.
    std::map<TaskKey, AssignedTask> assigned_tasks;
    std::vector<CachedImage> cached_images;  // most recently used last

    /// Takes no new tasks, and those on it are to leave.
    [[nodiscard]] bool draining() const {
        return lifecycle.releasing || failures.at_fault || lifecycle.reclaim_at.has_value();
    }
    /// What its tasks take, bound and untracked ones included.
    [[nodiscard]] Resources used() const;
    /// Whether a message of this agent epoch and sequence is no newer than one already taken over.
    [[nodiscard]] bool has_seen(const Heartbeat& heartbeat) const {
        return std::pair(heartbeat.agent_epoch, heartbeat.sequence) <=
               std::pair(fencing.agent_epoch, fencing.sequence);
    }
};

}  // namespace bendspindle::core
