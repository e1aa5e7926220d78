#include "core/pipelines.hpp"

#include <algorithm>

namespace bendspindle::core {

namespace {

// Attempts of one epoch never meet those of another, whatever a former owner had in flight.
constexpr unsigned attempt_bits = 32;

}  // namespace

Pipelines::Pipelines(Fleet& fleet, std::uint64_t epoch)
    : fleet_(fleet), next_attempt_(epoch << attempt_bits) {}

Job* Pipelines::find(const std::string& id) {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

const Job* Pipelines::find(const std::string& id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

Job& Pipelines::add(std::unique_ptr<Job> job) {
    job->serial = ++next_serial_;
    job->phase.assign(job->spec.tasks, TaskPhase::idle);
    job->image = dsmf::image_id(job->spec.image);
    auto& ref = *job;
    by_id_[ref.spec.id] = &ref;
    jobs_[ref.serial] = std::move(job);
    return ref;
}

void Pipelines::forget(Job& job) {
    by_id_.erase(job.spec.id);
    jobs_.erase(job.serial);
}

void Pipelines::forget_if_over(Job& job) {
    if (job.final_durable && job.placed.empty()) forget(job);
}

void Pipelines::forget_all_over() {
    std::vector<Job*> over;
    for (const auto& [serial, job] : jobs_)
        if (job->final_durable && job->placed.empty()) over.push_back(job.get());
    for (auto* job : over) forget(*job);
}

void Pipelines::load(const JobRecord& record, std::uint64_t stamp, TimePoint now) {
    auto job = std::make_unique<Job>();
    job->spec = record.spec;
    job->submitted = record.submitted;
    job->accepted_at = job->durable_at = now;
    job->durable = true;
    job->stamp = stamp;
    job->last_attempt = record.last_attempt;
    auto& ref = add(std::move(job));
    mark_done(ref, record.done, TaskPhase::durable);
    // The former owner may have fallen between the last done-set and the final record.
    if (ref.finished == ref.spec.tasks && ref.spec.kind != Kind::service)
        finish(ref, Final::done, now);
}

void Pipelines::learn(const JobRecord& record, std::uint64_t stamp, TimePoint now) {
    load(record, stamp, now);
    // Its record is younger than this epoch, so no controller of an older one has started it.
    by_id_.at(record.spec.id)->accepted_here = true;
}

void Pipelines::accept(const JobSpec& spec, WallTime submitted, TimePoint now) {
    auto job = std::make_unique<Job>();
    job->spec = spec;
    job->submitted = submitted;
    job->accepted_at = now;
    job->accepted_here = true;
    changed(add(std::move(job)), now);
}

std::optional<JobStatus> Pipelines::status(const std::string& id) const {
    const auto* job = find(id);
    if (!job || !job->durable) return std::nullopt;
    // Guard against went_back: its record may say already that it is over, to whoever reads it.
    if (job->final_sent && !job->final_durable) return std::nullopt;
    JobStatus out;
    // A final state is told only once it is durable: a controller that takes over must know it.
    if (job->final_durable) out.final = job->final;
    out.done = job->finished;
    for (const auto& [index, placement] : job->placed)
        if (placement.stage == Placement::Stage::on && placement.state == TaskState::running)
            ++out.running;
    return out;
}

bool Pipelines::cancel(const std::string& id, TimePoint now) {
    auto* job = find(id);
    if (!job || job->final == Final::done) return false;
    if (job->final == Final::cancelled) return true;
    job->cancelled_at = now;
    finish(*job, Final::cancelled, now);
    return true;
}

void Pipelines::over_by_record(const std::string& id, Final final, TimePoint now) {
    auto* job = find(id);
    if (!job) return;
    // Whichever it is, nothing of it is wanted any more: what is on machines is stopped.
    finish(*job, Final::cancelled, now);
    if (final == Final::cancelled && job->cancelled_at == TimePoint{}) job->cancelled_at = now;
    job->final = final;
    job->durable = true;
    final_written(*job);
}

void Pipelines::found_elsewhere(const JobRecord& record, std::uint64_t stamp, TimePoint now) {
    auto* job = find(record.spec.id);
    // One that its user has called off meanwhile is ended under the stamp of the record.
    if (!job || job->durable || job->over()) return restamp(record.spec.id, stamp);
    forget(*job);
    learn(record, stamp, now);
    by_id_.at(record.spec.id)->found = true;
}

void Pipelines::changed(Job& job, TimePoint now) {
    if (job.changed == job.written) job.changed_at = now;
    ++job.changed;
}

void Pipelines::finish(Job& job, Final final, TimePoint now) {
    if (job.over()) return;
    job.final = final;
    changed(job, now);
    if (final != Final::cancelled) return;
    std::vector<std::uint32_t> bound;
    for (auto& [index, placement] : job.placed) {
        if (placement.stage == Placement::Stage::bound)
            bound.push_back(index);
        else
            stop(placement, Seconds{0});
    }
    for (const auto index : bound) drop(job, index);
}

void Pipelines::bind(Job& job, Machine& machine, Placement placement, TimePoint now) {
    placement.machine = machine.name;
    placement.since = placement.bound_at = now;
    job.last_attempt = std::max(job.last_attempt, placement.attempt);
    hold(machine, job, job.next_idle(), placement);
    machine.idle_since = now;
}

void Pipelines::hold(Machine& machine, Job& job, std::uint32_t index, const Placement& placement) {
    if (job.phase[index] == TaskPhase::idle) job.set_phase(index, TaskPhase::placed);
    auto& kept = job.placed[index];
    kept = placement;
    machine.held[{job.serial, index}] = {&job, &kept};
}

void Pipelines::drop(Job& job, std::uint32_t index) {
    const auto it = job.placed.find(index);
    if (it == job.placed.end()) return;
    if (auto* machine = fleet_.find(it->second.machine)) machine->held.erase({job.serial, index});
    job.placed.erase(it);
    if (job.phase[index] == TaskPhase::placed) {
        job.set_phase(index, TaskPhase::idle);
        job.first_idle = std::min(job.first_idle, index);
    }
}

void Pipelines::stop(Placement& placement, Seconds grace) {
    if (placement.stopping && grace >= placement.grace) return;
    placement.stopping = true;
    placement.grace = grace;
    placement.stop_sent = TimePoint{};
}

void Pipelines::stop_all(Job& job, Seconds grace) {
    for (auto& [index, placement] : job.placed)
        if (placement.stage != Placement::Stage::bound) stop(placement, grace);
}

Seconds Pipelines::stop_to_save(Job& job, Placement& placement) {
    const auto grace = job.spec.saves() ? job.spec.save_time + Seconds{1} : Seconds{0};
    if (job.spec.kind == Kind::gang)
        stop_all(job, grace);
    else
        stop(placement, grace);
    return grace;
}

void Pipelines::break_gang(Job& job, std::uint64_t attempt) {
    if (job.spec.kind != Kind::gang) return;
    std::vector<std::uint32_t> bound;
    for (auto& [index, placement] : job.placed) {
        if (placement.attempt != attempt) continue;
        if (placement.stage == Placement::Stage::bound)
            bound.push_back(index);
        else if (!placement.stopping)
            stop(placement, Seconds{0});
    }
    for (const auto index : bound) drop(job, index);
}

std::uint32_t Pipelines::lose(Machine& machine) {
    std::vector<std::pair<Job*, std::uint32_t>> held;
    for (const auto& [key, task] : machine.held) held.push_back({task.job, key.second});
    std::uint32_t lost = 0;
    for (const auto& [job, index] : held) {
        const auto it = job->placed.find(index);
        if (it == job->placed.end()) continue;
        const auto attempt = it->second.attempt;
        if (it->second.stage != Placement::Stage::bound) ++lost;
        drop(*job, index);
        if (!job->over()) break_gang(*job, attempt);
    }
    return lost;
}

void Pipelines::complete(Job& job, std::uint32_t index, TimePoint now) {
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
        finish(job, Final::done, now);
}

void Pipelines::written(Job& job, const JobRecord& record, std::uint64_t version,
                        std::uint64_t stamp, TimePoint now) {
    if (!job.durable) job.durable_at = now;
    job.durable = true;
    job.stamp = stamp;
    job.written = version;
    if (job.changed != job.written) job.changed_at = now;
    mark_done(job, record.done, TaskPhase::durable);
}

void Pipelines::final_written(Job& job) {
    job.final_durable = true;
    job.written = job.changed;
    forget_if_over(job);
}

void Pipelines::restamp(const std::string& id, std::uint64_t stamp) {
    auto* job = find(id);
    if (!job) return;
    job->stamp = stamp;
    if (stamp != 0 && !job->durable) job->durable = job->found = true;
}

}  // namespace bendspindle::core
