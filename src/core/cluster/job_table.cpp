#include "core/cluster/job_table.hpp"

#include <algorithm>

#include "core/model/message_size.hpp"

namespace bendspindle::core {

namespace {

// The term in the high bits keeps the attempt numbers of different terms distinct, whatever a
// former leader still had in progress.
constexpr unsigned attempt_bits = 32;
constexpr std::size_t max_refused_ids = 256;

}  // namespace

JobTable::JobTable(MachineInventory& inventory, std::uint64_t term)
    : inventory_(inventory), next_attempt_(term << attempt_bits) {}

bool JobTable::is_of_this_term(std::uint64_t attempt) const {
    return attempt >> attempt_bits == next_attempt_ >> attempt_bits;
}

Job* JobTable::find(const std::string& id) {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

const Job* JobTable::find(const std::string& id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

Job& JobTable::add(std::unique_ptr<Job> job) {
    job->serial = ++next_serial_;
    job->progress.phase.assign(job->spec.tasks, TaskPhase::idle);
    job->image = image_id(job->spec.image);
    job->spec.need.heartbeat_bytes = static_cast<double>(max_task_entry_bytes(job->spec.id));
    auto& ref = *job;
    by_id_[ref.spec.id] = &ref;
    jobs_[ref.serial] = std::move(job);
    return ref;
}

void JobTable::forget(Job& job) {
    by_id_.erase(job.spec.id);
    jobs_.erase(job.serial);
}

void JobTable::forget_if_terminal(Job& job) {
    if (job.terminal.durable && job.assignments.empty()) forget(job);
}

void JobTable::forget_all_terminal() {
    std::vector<Job*> terminal;
    for (const auto& [serial, job] : jobs_)
        if (job->terminal.durable && job->assignments.empty()) terminal.push_back(job.get());
    for (auto* job : terminal) forget(*job);
}

void JobTable::load(const JobRecord& record, std::uint64_t mod_revision, TimePoint now) {
    auto job = std::make_unique<Job>();
    job->spec = record.spec;
    job->submitted = record.submitted;
    job->accepted_at = job->record.durable_at = now;
    job->record.durable = true;
    job->record.mod_revision = mod_revision;
    job->last_attempt = record.last_attempt;
    auto& ref = add(std::move(job));
    mark_done(ref, record.done, TaskPhase::durable);
    // The former leader may have failed between writing the last done-set and writing the terminal
    // record.
    if (ref.progress.finished == ref.spec.tasks && ref.spec.kind != Kind::service)
        finish(ref, TerminalState::done, now);
}

void JobTable::adopt(const JobRecord& record, std::uint64_t mod_revision, TimePoint now) {
    load(record, mod_revision, now);
    // The record was written in this term, so no controller of an older term has started the job.
    by_id_.at(record.spec.id)->accepted_this_term = true;
}

void JobTable::accept(const JobSpec& spec, WallTime submitted, TimePoint now) {
    auto job = std::make_unique<Job>();
    job->spec = spec;
    job->submitted = submitted;
    job->accepted_at = now;
    job->accepted_this_term = true;
    std::erase(refused_, spec.id);
    mark_changed(add(std::move(job)), now);
}

void JobTable::refuse(const std::string& id) {
    auto* job = find(id);
    if (!job || job->record.durable || !job->assignments.empty()) return;
    forget(*job);
    refused_.push_back(id);
    if (refused_.size() > max_refused_ids) refused_.pop_front();
}

bool JobTable::was_refused(const std::string& id) const {
    return std::find(refused_.begin(), refused_.end(), id) != refused_.end();
}

std::optional<JobStatus> JobTable::status(const std::string& id) const {
    const auto* job = find(id);
    if (!job || !job->record.durable) return std::nullopt;
    // Guard against went_back: readers of the record may already see the terminal state.
    if (job->terminal.write_sent && !job->terminal.durable) return std::nullopt;
    JobStatus out;
    // A terminal state is reported only once it is durable, so that the next leader knows it too.
    if (job->terminal.durable) out.terminal_state = job->terminal.state;
    out.done = job->progress.finished;
    for (const auto& [index, assignment] : job->assignments)
        if (assignment.stage == Assignment::Stage::reported &&
            assignment.state == TaskState::running)
            ++out.running;
    return out;
}

bool JobTable::cancel(const std::string& id, TimePoint now) {
    auto* job = find(id);
    if (!job || job->terminal.state == TerminalState::done) return false;
    if (job->terminal.state == TerminalState::cancelled) return true;
    job->terminal.cancelled_at = now;
    finish(*job, TerminalState::cancelled, now);
    return true;
}

void JobTable::apply_recorded_terminal_state(const std::string& id, TerminalState terminal_state,
                                             TimePoint now) {
    auto* job = find(id);
    if (!job) return;
    // Either terminal state ends the job: its tasks on machines are stopped.
    finish(*job, TerminalState::cancelled, now);
    if (terminal_state == TerminalState::cancelled && job->terminal.cancelled_at == TimePoint{})
        job->terminal.cancelled_at = now;
    job->terminal.state = terminal_state;
    job->record.durable = true;
    mark_terminal_state_committed(*job);
}

void JobTable::adopt_existing_record(const JobRecord& record, std::uint64_t mod_revision,
                                     TimePoint now) {
    auto* job = find(record.spec.id);
    // A job that its user has cancelled in the meantime is closed under the mod_revision of the
    // existing record.
    if (!job || job->record.durable || job->is_terminal())
        return set_mod_revision(record.spec.id, mod_revision);
    forget(*job);
    adopt(record, mod_revision, now);
    by_id_.at(record.spec.id)->record.found_in_store = true;
}

void JobTable::mark_changed(Job& job, TimePoint now) {
    if (job.record.version == job.record.durable_version) job.record.changed_at = now;
    ++job.record.version;
}

void JobTable::finish(Job& job, TerminalState terminal_state, TimePoint now) {
    if (job.is_terminal()) return;
    job.terminal.state = terminal_state;
    mark_changed(job, now);
    if (terminal_state != TerminalState::cancelled) return;
    std::vector<std::uint32_t> bound;
    for (auto& [index, assignment] : job.assignments) {
        if (assignment.stage == Assignment::Stage::bound)
            bound.push_back(index);
        else
            stop(assignment, Seconds{0});
    }
    for (const auto index : bound) unassign(job, index);
}

void JobTable::bind(Job& job, Machine& machine, Assignment assignment, TimePoint now) {
    assignment.machine = machine.identity.name;
    assignment.stage_entered_at = assignment.bound_at = now;
    job.last_attempt = std::max(job.last_attempt, assignment.attempt);
    assign(machine, job, job.find_first_idle(), assignment);
    machine.lifecycle.idle_since = now;
}

void JobTable::assign(Machine& machine, Job& job, std::uint32_t index,
                      const Assignment& assignment) {
    if (job.progress.phase[index] == TaskPhase::idle) job.set_phase(index, TaskPhase::placed);
    auto& kept = job.assignments[index];
    kept = assignment;
    machine.assigned_tasks[{job.serial, index}] = {&job, &kept};
}

void JobTable::unassign(Job& job, std::uint32_t index) {
    const auto it = job.assignments.find(index);
    if (it == job.assignments.end()) return;
    if (auto* machine = inventory_.find(it->second.machine))
        machine->assigned_tasks.erase({job.serial, index});
    job.assignments.erase(it);
    if (job.progress.phase[index] == TaskPhase::placed) {
        job.set_phase(index, TaskPhase::idle);
        job.progress.first_idle = std::min(job.progress.first_idle, index);
    }
}

void JobTable::end_attempt(Job& job, std::uint32_t index) {
    const auto it = job.assignments.find(index);
    if (it == job.assignments.end()) return;
    const auto attempt = it->second.attempt;
    unassign(job, index);
    if (!job.is_terminal()) abort_gang_attempt(job, attempt);
}

void JobTable::stop(Assignment& assignment, Seconds grace) {
    if (assignment.stopping && grace >= assignment.grace) return;
    assignment.stopping = true;
    assignment.grace = grace;
    assignment.stop_sent_at = TimePoint{};
}

void JobTable::stop_all(Job& job, Seconds grace) {
    for (auto& [index, assignment] : job.assignments)
        if (assignment.stage != Assignment::Stage::bound) stop(assignment, grace);
}

Seconds JobTable::stop_gracefully(Job& job, Assignment& assignment) {
    const auto grace = job.spec.saves_checkpoints() ? job.spec.save_time + Seconds{1} : Seconds{0};
    if (job.spec.kind == Kind::gang)
        stop_all(job, grace);
    else
        stop(assignment, grace);
    return grace;
}

void JobTable::abort_gang_attempt(Job& job, std::uint64_t attempt) {
    if (job.spec.kind != Kind::gang) return;
    std::vector<std::uint32_t> bound;
    for (auto& [index, assignment] : job.assignments) {
        if (assignment.attempt != attempt) continue;
        if (assignment.stage == Assignment::Stage::bound)
            bound.push_back(index);
        else if (!assignment.stopping)
            stop(assignment, Seconds{0});
    }
    for (const auto index : bound) unassign(job, index);
}

std::uint32_t JobTable::mark_lost(Machine& machine) {
    std::vector<std::pair<Job*, std::uint32_t>> tasks;
    for (const auto& [key, task] : machine.assigned_tasks) tasks.push_back({task.job, key.index});
    std::uint32_t lost = 0;
    for (const auto& [job, index] : tasks) {
        const auto it = job->assignments.find(index);
        if (it == job->assignments.end()) continue;
        if (it->second.stage != Assignment::Stage::bound) ++lost;
        end_attempt(*job, index);
    }
    return lost;
}

void JobTable::complete(Job& job, std::uint32_t index, TimePoint now) {
    if (job.is_terminal()) return;
    const auto finished_before = job.progress.finished;
    const bool gang = job.spec.kind == Kind::gang;
    const auto first = gang ? 0 : index;
    const auto last = gang ? job.spec.tasks - 1 : index;
    for (auto i = first; i <= last; ++i)
        if (job.progress.phase[i] != TaskPhase::durable && job.progress.phase[i] != TaskPhase::done)
            job.set_phase(i, TaskPhase::done);
    if (job.progress.finished == finished_before) return;
    mark_changed(job, now);
    if (job.progress.finished == job.spec.tasks && job.spec.kind != Kind::service)
        finish(job, TerminalState::done, now);
}

void JobTable::mark_committed(Job& job, const JobRecord& record, std::uint64_t version,
                              std::uint64_t mod_revision, TimePoint now) {
    if (!job.record.durable) job.record.durable_at = now;
    job.record.durable = true;
    job.record.mod_revision = mod_revision;
    job.record.durable_version = version;
    if (job.record.version != job.record.durable_version) job.record.changed_at = now;
    mark_done(job, record.done, TaskPhase::durable);
}

void JobTable::mark_terminal_state_committed(Job& job) {
    job.terminal.durable = true;
    job.record.durable_version = job.record.version;
    forget_if_terminal(job);
}

void JobTable::set_mod_revision(const std::string& id, std::uint64_t mod_revision) {
    auto* job = find(id);
    if (!job) return;
    job->record.mod_revision = mod_revision;
    if (mod_revision != 0 && !job->record.durable)
        job->record.durable = job->record.found_in_store = true;
}

}  // namespace bendspindle::core
