// One accepted job: what its user asked for, where its tasks stand, and what of that is durable.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/model/types.hpp"

namespace bendspindle::core {

enum class TerminalState : std::uint8_t { none, done, cancelled };

using Range = std::pair<std::uint32_t, std::uint32_t>;  // first and last task, both included

// The durable form of a job, as it stands in the state service.
struct JobRecord {
    JobSpec spec;
    std::string home;
    WallTime submitted{};
    std::uint64_t last_attempt = 0;
    std::vector<Range> done;
    TerminalState terminal_state = TerminalState::none;
};

enum class TaskPhase : std::uint8_t {
    idle,     // may be bound
    placed,   // has a placement: bound, ordered or on a machine
    done,     // completed, not yet in a durable done-set
    durable,  // completed, and the done-set that says so is durable
};

struct Assignment {
    enum class Stage : std::uint8_t {
        bound,    // in a machine's ready list; no order given
        ordered,  // a start went out
        on,       // the machine has reported it
    };
    std::string machine;
    std::uint64_t attempt = 0;
    Stage stage = Stage::bound;
    TaskState state = TaskState::fetching;
    std::uint64_t started_in_agent_epoch = 0;
    // The start went out in a direct call and its outcome is not known: the call may still be on
    // its way, so the task's absence from a report proves nothing.
    bool in_flight = false;
    TimePoint since{};  // of the stage
    TimePoint bound_at{};
    TimePoint ordered_at{};
    TimePoint on_at{};
    TimePoint running_from{};  // when it was first seen running
    bool stopping = false;
    Seconds grace{0};
    TimePoint stop_sent{};
    TimePoint held_until{};  // room was made for it by stopping others: not rebound before
    // Ready list order: DSMF's makespan, then RPM; `rank` holds the exceptions.
    int rank = 0;
    Seconds makespan{0};
    Seconds rpm{0};
};

inline constexpr std::size_t machines_against_a_job = 2;

struct Job {
    JobSpec spec;
    std::uint64_t serial = 0;
    WallTime submitted{};
    TimePoint accepted_at{};
    TimePoint durable_at{};
    // Since when it has waited without any of it being started; none: it is not waiting.
    std::optional<TimePoint> waits_since;
    bool owed = false;  // it has once waited so long that its team's guarantee comes first
    // Was placed under a floor, and keeps it: a class whose job had just been started starved no
    // more, and the job was stopped again for those who had kept it waiting.
    bool floored = false;
    bool started = false;        // all tasks of a gang, or one of an array, have run at once
    bool accepted_here = false;  // in this term: no older term can have started any of it
    TerminalState terminal_state = TerminalState::none;
    bool terminal_state_durable = false;
    bool terminal_state_sent = false;  // the write of it may have been carried out, or may yet be
    bool durable = false;
    bool found = false;  // its first record turned out to be written already, by another controller
    std::uint64_t last_attempt = 0;
    std::vector<TaskPhase> phase;
    std::map<std::uint32_t, Assignment> placed;
    std::uint32_t finished = 0;     // done or durable
    std::uint32_t placed_open = 0;  // tasks whose phase is `placed`
    std::size_t image = 0;          // dsmf::image_id of the spec's image
    std::uint32_t first_idle = 0;
    // Errors speak against the job only when several machines agree.
    std::uint32_t errors = 0;  // tries in a row that failed
    std::set<std::string> failed_on;
    TimePoint failed_at{};
    TimePoint not_before{};
    TimePoint cancelled_at{};
    // Writing.
    std::uint64_t mod_revision = 0;  // of the record in the state service; 0: none yet
    std::uint64_t changed = 0;       // counts changes of what the record holds
    std::uint64_t written = 0;       // the change that is durable
    TimePoint changed_at{};
    Seconds run_mean{0};  // of this job's own tasks, once some have completed
    std::uint32_t run_count = 0;

    std::uint32_t idle_count() const { return spec.tasks - finished - placed_open; }
    void set_phase(std::uint32_t index, TaskPhase to);
    bool over() const { return terminal_state != TerminalState::none; }
    // Fails on every machine so far: submitted with a mistake, perhaps.
    bool suspect() const { return failed_on.size() >= machines_against_a_job && finished == 0; }
    // How many of its tasks are tried at once.
    std::uint32_t tried_at_once() const {
        return suspect() && spec.kind != Kind::gang ? 1 : spec.tasks;
    }
    std::uint32_t next_idle();
};

std::vector<Range> done_ranges(const Job& job);
void mark_done(Job& job, const std::vector<Range>& ranges, TaskPhase as);
// The record as of now.
JobRecord to_record(const Job& job, const std::string& home);

}  // namespace bendspindle::core
