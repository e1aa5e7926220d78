#include "core/cluster/job_table.hpp"

#include <algorithm>

namespace bendspindle::core {

namespace {

// Attempts of one term never meet those of another, whatever a former owner had in flight.
constexpr unsigned attempt_bits = 32;

}  // namespace

JobTable::JobTable(MachineInventory& inventory, std::uint64_t term)
    : inventory_(inventory), next_attempt_(term << attempt_bits) {}

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
    job->phase.assign(job->spec.tasks, TaskPhase::idle);
    job->image = dsmf::image_id(job->spec.image);
    auto& ref = *job;
    by_id_[ref.spec.id] = &ref;
    jobs_[ref.serial] = std::move(job);
    return ref;
}

void JobTable::forget(Job& job) {
    by_id_.erase(job.spec.id);
    jobs_.erase(job.serial);
}

void JobTable::forget_if_over(Job& job) {
    if (job.terminal_state_durable && job.placed.empty()) forget(job);
}

void JobTable::forget_all_over() {
    std::vector<Job*> over;
    for (const auto& [serial, job] : jobs_)
        if (job->terminal_state_durable && job->placed.empty()) over.push_back(job.get());
    for (auto* job : over) forget(*job);
}

void JobTable::load(const JobRecord& record, std::uint64_t mod_revision, TimePoint now) {
    auto job = std::make_unique<Job>();
    job->spec = record.spec;
    job->submitted = record.submitted;
    job->accepted_at = job->durable_at = now;
    job->durable = true;
    job->mod_revision = mod_revision;
    job->last_attempt = record.last_attempt;
    auto& ref = add(std::move(job));
    mark_done(ref, record.done, TaskPhase::durable);
    // The former owner may have fallen between the last done-set and the final record.
    if (ref.finished == ref.spec.tasks && ref.spec.kind != Kind::service)
        finish(ref, TerminalState::done, now);
}

void JobTable::learn(const JobRecord& record, std::uint64_t mod_revision, TimePoint now) {
    load(record, mod_revision, now);
    // Its record is younger than this term, so no controller of an older one has started it.
    by_id_.at(record.spec.id)->accepted_here = true;
}

void JobTable::accept(const JobSpec& spec, WallTime submitted, TimePoint now) {
    auto job = std::make_unique<Job>();
    job->spec = spec;
    job->submitted = submitted;
    job->accepted_at = now;
    job->accepted_here = true;
    changed(add(std::move(job)), now);
}

std::optional<JobStatus> JobTable::status(const std::string& id) const {
    const auto* job = find(id);
    if (!job || !job->durable) return std::nullopt;
    // Guard against went_back: its record may say already that it is over, to whoever reads it.
    if (job->terminal_state_sent && !job->terminal_state_durable) return std::nullopt;
    JobStatus out;
    // A final state is told only once it is durable: a controller that takes over must know it.
    if (job->terminal_state_durable) out.terminal_state = job->terminal_state;
    out.done = job->finished;
    for (const auto& [index, assignment] : job->placed)
        if (assignment.stage == Assignment::Stage::on && assignment.state == TaskState::running)
            ++out.running;
    return out;
}

bool JobTable::cancel(const std::string& id, TimePoint now) {
    auto* job = find(id);
    if (!job || job->terminal_state == TerminalState::done) return false;
    if (job->terminal_state == TerminalState::cancelled) return true;
    job->cancelled_at = now;
    finish(*job, TerminalState::cancelled, now);
    return true;
}

void JobTable::finished_by_record(const std::string& id, TerminalState terminal_state,
                                  TimePoint now) {
    auto* job = find(id);
    if (!job) return;
    // Whichever it is, nothing of it is wanted any more: what is on machines is stopped.
    finish(*job, TerminalState::cancelled, now);
    if (terminal_state == TerminalState::cancelled && job->cancelled_at == TimePoint{})
        job->cancelled_at = now;
    job->terminal_state = terminal_state;
    job->durable = true;
    terminal_state_written(*job);
}

void JobTable::found_elsewhere(const JobRecord& record, std::uint64_t mod_revision, TimePoint now) {
    auto* job = find(record.spec.id);
    // One that its user has called off meanwhile is ended under the mod_revision of the record.
    if (!job || job->durable || job->over()) return set_mod_revision(record.spec.id, mod_revision);
    forget(*job);
    learn(record, mod_revision, now);
    by_id_.at(record.spec.id)->found = true;
}

void JobTable::changed(Job& job, TimePoint now) {
    if (job.changed == job.written) job.changed_at = now;
    ++job.changed;
}

void JobTable::finish(Job& job, TerminalState terminal_state, TimePoint now) {
    if (job.over()) return;
    job.terminal_state = terminal_state;
    changed(job, now);
    if (terminal_state != TerminalState::cancelled) return;
    std::vector<std::uint32_t> bound;
    for (auto& [index, assignment] : job.placed) {
        if (assignment.stage == Assignment::Stage::bound)
            bound.push_back(index);
        else
            stop(assignment, Seconds{0});
    }
    for (const auto index : bound) drop(job, index);
}

void JobTable::bind(Job& job, Machine& machine, Assignment assignment, TimePoint now) {
    assignment.machine = machine.name;
    assignment.since = assignment.bound_at = now;
    job.last_attempt = std::max(job.last_attempt, assignment.attempt);
    hold(machine, job, job.next_idle(), assignment);
    machine.idle_since = now;
}

void JobTable::hold(Machine& machine, Job& job, std::uint32_t index, const Assignment& assignment) {
    if (job.phase[index] == TaskPhase::idle) job.set_phase(index, TaskPhase::placed);
    auto& kept = job.placed[index];
    kept = assignment;
    machine.held[{job.serial, index}] = {&job, &kept};
}

void JobTable::drop(Job& job, std::uint32_t index) {
    const auto it = job.placed.find(index);
    if (it == job.placed.end()) return;
    if (auto* machine = inventory_.find(it->second.machine))
        machine->held.erase({job.serial, index});
    job.placed.erase(it);
    if (job.phase[index] == TaskPhase::placed) {
        job.set_phase(index, TaskPhase::idle);
        job.first_idle = std::min(job.first_idle, index);
    }
}

void JobTable::stop(Assignment& assignment, Seconds grace) {
    if (assignment.stopping && grace >= assignment.grace) return;
    assignment.stopping = true;
    assignment.grace = grace;
    assignment.stop_sent = TimePoint{};
}

void JobTable::stop_all(Job& job, Seconds grace) {
    for (auto& [index, assignment] : job.placed)
        if (assignment.stage != Assignment::Stage::bound) stop(assignment, grace);
}

Seconds JobTable::stop_to_save(Job& job, Assignment& assignment) {
    const auto grace = job.spec.saves() ? job.spec.save_time + Seconds{1} : Seconds{0};
    if (job.spec.kind == Kind::gang)
        stop_all(job, grace);
    else
        stop(assignment, grace);
    return grace;
}

void JobTable::break_gang(Job& job, std::uint64_t attempt) {
    if (job.spec.kind != Kind::gang) return;
    std::vector<std::uint32_t> bound;
    for (auto& [index, assignment] : job.placed) {
        if (assignment.attempt != attempt) continue;
        if (assignment.stage == Assignment::Stage::bound)
            bound.push_back(index);
        else if (!assignment.stopping)
            stop(assignment, Seconds{0});
    }
    for (const auto index : bound) drop(job, index);
}

std::uint32_t JobTable::lose(Machine& machine) {
    std::vector<std::pair<Job*, std::uint32_t>> held;
    for (const auto& [key, task] : machine.held) held.push_back({task.job, key.second});
    std::uint32_t lost = 0;
    for (const auto& [job, index] : held) {
        const auto it = job->placed.find(index);
        if (it == job->placed.end()) continue;
        const auto attempt = it->second.attempt;
        if (it->second.stage != Assignment::Stage::bound) ++lost;
        drop(*job, index);
        if (!job->over()) break_gang(*job, attempt);
    }
    return lost;
}

void JobTable::complete(Job& job, std::uint32_t index, TimePoint now) {
    if (job.over()) return;
    const auto finished_before = job.finished;
    const bool gang = job.spec.kind == Kind::gang;
    const auto first = gang ? 0 : index;
    const auto last = gang ? job.spec.tasks - 1 : index;
    for (auto i = first; i <= last; ++i)
        if (job.phase[i] != TaskPhase::durable && job.phase[i] != TaskPhase::done)
            job.set_phase(i, TaskPhase::done);
    if (job.finished == finished_before) return;
    changed(job, now);
    if (job.finished == job.spec.tasks && job.spec.kind != Kind::service)
        finish(job, TerminalState::done, now);
}

void JobTable::written(Job& job, const JobRecord& record, std::uint64_t version,
                       std::uint64_t mod_revision, TimePoint now) {
    if (!job.durable) job.durable_at = now;
    job.durable = true;
    job.mod_revision = mod_revision;
    job.written = version;
    if (job.changed != job.written) job.changed_at = now;
    mark_done(job, record.done, TaskPhase::durable);
}

void JobTable::terminal_state_written(Job& job) {
    job.terminal_state_durable = true;
    job.written = job.changed;
    forget_if_over(job);
}

void JobTable::set_mod_revision(const std::string& id, std::uint64_t mod_revision) {
    auto* job = find(id);
    if (!job) return;
    job->mod_revision = mod_revision;
    if (mod_revision != 0 && !job->durable) job->durable = job->found = true;
}

}  // namespace bendspindle::core
