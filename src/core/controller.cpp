#include "core/controller.hpp"

#include <algorithm>
#include <cmath>

namespace bendspindle::core {

namespace {

constexpr std::size_t gone_remembered = 4096;
// Attempts of one epoch never meet those of another, whatever a former owner had in flight.
constexpr unsigned attempt_bits = 32;
constexpr Seconds piled_up{5};
constexpr double least_ratio = 0.2;
constexpr double most_ratio = 5.0;

}  // namespace

Controller::Controller(Config config, std::uint64_t epoch)
    : config_(std::move(config)), epoch_(epoch), next_attempt_(epoch << attempt_bits) {}

void Controller::set_types(std::vector<MachineType> types) {
    types_ = std::move(types);
    type_index_.clear();
    for (std::size_t i = 0; i < types_.size(); ++i) type_index_[types_[i].name] = i;
    for (auto& [name, machine] : machines_) {
        const auto it = type_index_.find(machine.type_name);
        machine.type_known = it != type_index_.end();
        if (machine.type_known) machine.type = it->second;
    }
}

Job* Controller::find(const std::string& id) {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

const Job* Controller::find(const std::string& id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

Job& Controller::add_job(std::unique_ptr<Job> job) {
    job->serial = ++next_serial_;
    job->phase.assign(job->spec.tasks, TaskPhase::idle);
    job->image = dsmf::image_id(job->spec.image);
    auto& ref = *job;
    by_id_[ref.spec.id] = &ref;
    jobs_[ref.serial] = std::move(job);
    return ref;
}

void Controller::forget_job(Job& job) {
    by_id_.erase(job.spec.id);
    jobs_.erase(job.serial);
}

void Controller::load_job(const JobRecord& record, std::uint64_t stamp, TimePoint now) {
    auto job = std::make_unique<Job>();
    job->spec = record.spec;
    job->submitted = record.submitted;
    job->accepted_at = now;
    job->durable = true;
    job->stamp = stamp;
    job->last_attempt = record.last_attempt;
    auto& ref = add_job(std::move(job));
    mark_done(ref, record.done, TaskPhase::durable);
    // The former owner may have fallen between the last done-set and the final record.
    if (ref.finished == ref.spec.tasks && ref.spec.kind != Kind::service)
        finish(ref, Final::done, now);
}

void Controller::load_machine(const ListedMachine& record, std::uint64_t stamp, TimePoint now) {
    auto& machine = machines_[record.name];
    machine.name = record.name;
    machine.address = record.address;
    machine.type_name = record.type;
    if (const auto it = type_index_.find(record.type); it != type_index_.end()) {
        machine.type = it->second;
        machine.type_known = true;
    }
    machine.zone = record.zone;
    machine.spot = record.spot;
    machine.durable = true;
    machine.stamp = stamp;
    machine.first_seen = machine.last_report = machine.idle_since = machine.loaded_at = now;
}

namespace {

bool allowed_on(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
    if (spot && !spec.spot) return false;
    if (spec.zone && *spec.zone != zone) return false;
    if (!spec.types) return true;
    return std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

}  // namespace

bool Controller::allowed(const JobSpec& spec, const std::string& type, const std::string& zone,
                         bool spot) const {
    return allowed_on(spec, type, zone, spot);
}

bool Controller::allowed(const JobSpec& spec, const Machine& machine) const {
    return machine.type_known && allowed(spec, machine.type_name, machine.zone, machine.spot);
}

// Guard against GPUs paid for in vain: when everything else was taken, GPU machines were rented for
// tasks that need none. They use GPU machines that are there, but none is rented for them unless no
// other type can run them.
bool Controller::suits(const JobSpec& spec, const MachineType& type) const {
    if (spec.need.gpus > 0 || type.size.gpus <= 0) return true;
    return std::none_of(types_.begin(), types_.end(), [&](const MachineType& other) {
        return other.size.gpus <= 0 && other.size.holds(spec.need) &&
               std::any_of(other.zones.begin(), other.zones.end(), [&](const std::string& zone) {
                   return allowed(spec, other.name, zone, false);
               });
    });
}

Verdict Controller::check(const JobSpec& spec) const {
    return judge(spec, config_.teams, types_);
}

Verdict judge(const JobSpec& spec, const std::vector<Team>& teams,
              const std::vector<MachineType>& types) {
    if (types.empty()) return Verdict::not_ready;
    const auto team = std::find_if(teams.begin(), teams.end(),
                                   [&](const Team& t) { return t.name == spec.team; });
    if (team == teams.end()) return Verdict::never_fits;
    const bool fits_some = std::any_of(types.begin(), types.end(), [&](const MachineType& type) {
        if (!type.size.holds(spec.need)) return false;
        return std::any_of(type.zones.begin(), type.zones.end(), [&](const std::string& zone) {
            return allowed_on(spec, type.name, zone, false);
        });
    });
    if (!fits_some) return Verdict::never_fits;
    // An array needs its limit for one task, gangs and services for all of them.
    const double at_once = spec.kind == Kind::array ? 1 : spec.tasks;
    const auto& limit = team->limit;
    if (limit.cpus > 0 && spec.need.cpus * at_once > limit.cpus) return Verdict::never_fits;
    if (limit.gpus > 0 && spec.need.gpus * at_once > limit.gpus) return Verdict::never_fits;
    return Verdict::fits;
}

void Controller::note_arrival(const JobSpec& spec, TimePoint now) {
    auto& stats = classes_[spec.job_class];
    if (stats.arrivals > 0) {
        const auto gap = between(stats.last_arrival, now);
        stats.gap += (gap - stats.gap) / std::min<double>(stats.arrivals, 8);
    }
    ++stats.arrivals;
    stats.last_arrival = now;
    const double weight = std::min<double>(stats.arrivals, 30);
    stats.tasks += (spec.tasks - stats.tasks) / weight;
    stats.run += (spec.estimate - stats.run) / weight;
    // What comes in the first moments has piled up before and tells nothing of the rate.
    if (acting_since_ && between(*acting_since_, now) > piled_up) stats.recent += 1;
}

bool Controller::learn(const JobRecord& record, std::uint64_t stamp, TimePoint now) {
    if (knows(record.spec.id)) return false;
    load_job(record, stamp, now);
    // Its record is younger than this epoch, so no controller of an older one has started it.
    by_id_.at(record.spec.id)->accepted_here = true;
    note_arrival(record.spec, now);
    return true;
}

bool Controller::accept(const JobSpec& spec, WallTime submitted, TimePoint now) {
    if (knows(spec.id)) return false;
    auto job = std::make_unique<Job>();
    job->spec = spec;
    job->submitted = submitted;
    job->accepted_at = now;
    job->accepted_here = true;
    note_arrival(spec, now);
    changed(add_job(std::move(job)), now);
    return true;
}

bool Controller::durable(const std::string& id) const {
    const auto* job = find(id);
    return job && job->durable;
}

bool Controller::found(const std::string& id) const {
    const auto* job = find(id);
    return job && job->found;
}

std::optional<JobStatus> Controller::status(const std::string& id) const {
    const auto* job = find(id);
    if (!job || !job->durable) return std::nullopt;
    JobStatus out;
    // A final state is told only once it is durable: a controller that takes over must know it.
    if (job->final_durable) out.final = job->final;
    out.done = job->finished;
    for (const auto& [index, placement] : job->placed)
        if (placement.stage == Placement::Stage::on && placement.state == TaskState::running)
            ++out.running;
    return out;
}

bool Controller::cancel(const std::string& id, TimePoint now) {
    auto* job = find(id);
    if (!job || job->final == Final::done) return false;
    if (job->final == Final::cancelled) return true;
    job->cancelled_at = now;
    finish(*job, Final::cancelled, now);
    return true;
}

void Controller::withdraw(const std::string& id) {
    auto* job = find(id);
    if (job && !job->durable && job->placed.empty()) forget_job(*job);
}

void Controller::changed(Job& job, TimePoint now) {
    if (job.changed == job.written) job.changed_at = now;
    ++job.changed;
}

void Controller::finish(Job& job, Final final, TimePoint now) {
    if (job.over()) return;
    job.final = final;
    changed(job, now);
    if (final == Final::cancelled) {
        std::vector<std::uint32_t> bound;
        for (auto& [index, placement] : job.placed) {
            if (placement.stage == Placement::Stage::bound)
                bound.push_back(index);
            else
                stop(job, placement, Seconds{0});
        }
        for (const auto index : bound) drop(job, index);
    }
}

void Controller::stop(Job& job, Placement& placement, Seconds grace) {
    (void)job;
    if (placement.stopping && grace >= placement.grace) return;
    placement.stopping = true;
    placement.grace = grace;
    placement.stop_sent = TimePoint{};
}

void Controller::hold(Machine& machine, Job& job, std::uint32_t index,
                      const Placement& placement) {
    auto& kept = job.placed[index];
    kept = placement;
    machine.held[{job.serial, index}] = {&job, &kept};
}

void Controller::drop(Job& job, std::uint32_t index) {
    const auto it = job.placed.find(index);
    if (it == job.placed.end()) return;
    if (const auto m = machines_.find(it->second.machine); m != machines_.end())
        m->second.held.erase({job.serial, index});
    job.placed.erase(it);
    if (job.phase[index] == TaskPhase::placed) {
        job.set_phase(index, TaskPhase::idle);
        job.first_idle = std::min(job.first_idle, index);
    }
}

void Controller::note_image(Machine& machine, const Job& job) {
    if (job.image == 0 || !machine.type_known) return;
    auto& images = machine.images;
    if (!images.empty() && images.back().id == job.image) return;
    std::erase_if(images, [&](const auto& entry) { return entry.id == job.image; });
    images.push_back({job.image, job.spec.image_gb});
    double total = 0;
    for (const auto& entry : images) total += entry.gb;
    while (total > types_[machine.type].cache_gb && !images.empty()) {
        total -= images.front().gb;
        images.erase(images.begin());
    }
}

void Controller::note_run(Job& job, Seconds ran) {
    ++job.run_count;
    job.run_mean += (ran - job.run_mean) / std::min<double>(job.run_count, 20);
    if (job.spec.estimate.count() <= 0) return;
    auto& stats = classes_[job.spec.job_class];
    const double ratio =
        std::clamp(ran.count() / job.spec.estimate.count(), least_ratio, most_ratio);
    ++stats.samples;
    stats.ratio += (ratio - stats.ratio) / std::min<double>(stats.samples + 3, 30);
}

Seconds Controller::expected_run(const Job& job) const {
    if (job.run_count > 0) return std::max(job.run_mean, Seconds{0.5});
    Seconds estimate = job.spec.estimate;
    const auto it = classes_.find(job.spec.job_class);
    if (it != classes_.end()) estimate *= it->second.ratio;
    return std::max(estimate, Seconds{0.5});
}

Seconds Controller::remaining(const Job& job, const Placement& placement, TimePoint now) const {
    const auto run = expected_run(job);
    if (placement.stage != Placement::Stage::on || placement.state == TaskState::fetching ||
        placement.state == TaskState::waiting)
        return run;
    const auto ran = between(placement.running_from, now);
    // A task that outlives its estimate is taken to need a quarter of what it has had, again.
    return std::max(run - ran, ran * 0.25);
}

Resources Controller::used(const Machine& machine) const {
    Resources sum = machine.strays;
    for (const auto& [key, task] : machine.held) sum += task.job->spec.need;
    return sum;
}

bool Controller::usable(const Machine& machine, TimePoint now) const {
    return machine.confirmed && machine.durable && machine.type_known && !machine.draining() &&
           between(machine.last_report, now) < config_.workers.report * 2.5 + Seconds{1};
}

bool Controller::in_doubt(const Job& job) const {
    if (job.accepted_here) return false;
    // Guard against ran_twice after a takeover: the former owner may have started this job's
    // tasks on any recorded machine that has not shown the new token yet.
    return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
        const auto& machine = entry.second;
        return machine.durable && !machine.confirmed &&
               allowed(job.spec, machine.type_name, machine.zone, machine.spot);
    });
}

Machine& Controller::machine_for(const Report& report, TimePoint now) {
    auto [it, fresh] = machines_.try_emplace(report.machine);
    auto& machine = it->second;
    if (fresh) {
        machine.name = report.machine;
        machine.first_seen = machine.idle_since = now;
    }
    machine.address = report.address;
    machine.type_name = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    const auto type = type_index_.find(report.type);
    machine.type_known = type != type_index_.end();
    if (machine.type_known) machine.type = type->second;
    return machine;
}

void Controller::observe(Machine& machine, const Report& report, TimePoint now) {
    if (report.session != machine.session) machine.unanswered.clear();
    machine.session = report.session;
    machine.seq = report.seq;
    machine.last_report = now;
    machine.reported = true;
    if (report.notice && !machine.taken_at) machine.taken_at = later(now, *report.notice);
    if (!report.notice) machine.taken_at.reset();
}

std::vector<DirectCall> Controller::direct_calls(TimePoint now) {
    constexpr Seconds ask_again{3};
    std::vector<DirectCall> out;
    for (auto& [name, machine] : machines_) {
        if (machine.call_out || machine.address.empty() || machine.releasing) continue;
        DirectCall call{name, machine.address, epoch_, std::max<std::uint64_t>(machine.session, 1),
                        {}};
        if (machine.durable && !machine.confirmed) {
            // Each recorded machine is asked at once after a takeover: a former controller that
            // does not know it is one may keep the workers' reports to itself.
            if (machine.last_call != TimePoint{} && between(machine.last_call, now) < ask_again)
                continue;
        } else {
            stop_ready(machine, now, call.orders);
            start_ready(machine, now, true, call.orders);
            if (call.orders.empty()) continue;
        }
        machine.call_out = true;
        machine.last_call = now;
        out.push_back(std::move(call));
    }
    return out;
}

// A stop whose direct call failed travels with the next answer to a report.
void Controller::repeat_stop(const Order& order) {
    auto* job = find(order.job);
    if (!job) return;
    const auto placed = job->placed.find(order.index);
    if (placed != job->placed.end() && placed->second.attempt == order.attempt)
        placed->second.stop_sent = TimePoint{};
}

void Controller::called(const DirectCall& call, CallOutcome outcome, const Report* answer,
                        TimePoint now) {
    const auto it = machines_.find(call.machine);
    if (it == machines_.end()) return;
    auto& machine = it->second;
    machine.call_out = false;
    for (const auto& order : call.orders) {
        if (order.verb == Order::Verb::stop && outcome != CallOutcome::executed)
            repeat_stop(order);
        if (order.verb != Order::Verb::start) continue;
        if (outcome == CallOutcome::unknown) machine.unanswered.insert({order.job, order.attempt});
        auto* job = find(order.job);
        if (!job) continue;
        const auto placed = job->placed.find(order.index);
        if (placed == job->placed.end()) continue;
        auto& placement = placed->second;
        if (placement.attempt != order.attempt || placement.machine != call.machine ||
            placement.stage != Placement::Stage::ordered || !placement.in_flight)
            continue;
        if (outcome == CallOutcome::executed && answer) {
            placement.in_flight = false;
            placement.ordered_session = answer->session;
            placement.ordered_seq = answer->seq - 1;
        } else if (outcome == CallOutcome::rejected) {
            placement.in_flight = false;
            placement.stage = Placement::Stage::bound;
        }
    }
    if (!answer || answer->token > epoch_) return;
    if (std::pair(answer->session, answer->seq) <= std::pair(machine.session, machine.seq)) return;
    // The worker was asked under a wrong session; the right one is tried at once.
    if (answer->session != call.session) machine.last_call = TimePoint{};
    observe(machine, *answer, now);
    if (answer->token < epoch_) return;
    if (!machine.confirmed) machine.idle_since = now;
    machine.confirmed = true;
    // What it would order goes out with the next report; nothing here depends on its arrival.
    std::vector<Order> later_orders;
    reconcile(machine, *answer, Source::direct_answer, now, later_orders);
}

ReportAnswer Controller::report(const Report& report, TimePoint now) {
    if (report.token > epoch_) return {false, epoch_, {}};
    ReportAnswer answer{true, epoch_, {}};
    // A machine whose release was answered is gone; this report was held up on its way.
    if (gone_.contains(report.machine)) return answer;
    auto& machine = machine_for(report, now);
    // Guard against held-up reports: an older list must never replace a newer one.
    if (std::pair(report.session, report.seq) <= std::pair(machine.session, machine.seq))
        return answer;
    if (!machine.reported && report.session == 1 && between(machine.first_seen, now) > Seconds{1})
        boot_seen_[machine.type_name] = between(machine.first_seen, now);
    observe(machine, report, now);
    // Guard against ran_twice: until the machine has seen this token, a start of the former
    // epoch may still take effect after the list was made.
    if (report.token < epoch_) return answer;
    if (!machine.confirmed) machine.idle_since = now;
    machine.confirmed = true;
    reconcile(machine, report, Source::report, now, answer.orders);
    if (machine.taken_at) stop_for_drain(machine, now);
    stop_ready(machine, now, answer.orders);
    start_ready(machine, now, false, answer.orders);
    if (!machine.held.empty()) machine.idle_since = now;
    return answer;
}

void Controller::reconcile(Machine& machine, const Report& report, Source source, TimePoint now,
                           std::vector<Order>& orders) {
    // Most reports say what the one before said. They change nothing here unless an order is on
    // its way or an exited task waits for its done-set.
    const auto settled = [](const auto& entry) {
        return entry.second.placement->stage == Placement::Stage::on;
    };
    const auto present = [](const ReportedTask& task) { return task.state != TaskState::exited; };
    if (machine.tasks == report.tasks && machine.tasks.size() == machine.held.size() &&
        std::all_of(machine.held.begin(), machine.held.end(), settled) &&
        std::all_of(machine.tasks.begin(), machine.tasks.end(), present))
        return;
    machine.tasks = report.tasks;
    std::set<std::pair<std::uint64_t, std::uint32_t>> seen;
    for (const auto& task : report.tasks) {
        auto* job = find(task.job);
        // All open jobs are in memory before the first report is handled, so an unknown one is
        // over, and nothing of it is wanted.
        if (!job || task.index >= job->spec.tasks) {
            if (task.state == TaskState::exited)
                orders.push_back({Order::Verb::forget, task.job, task.index, task.attempt, {}});
            else
                orders.push_back({Order::Verb::stop, task.job, task.index, task.attempt, {}});
            continue;
        }
        job->last_attempt = std::max(job->last_attempt, task.attempt);
        const auto it = job->placed.find(task.index);
        const bool ours = it != job->placed.end() && it->second.machine == machine.name &&
                          it->second.attempt == task.attempt &&
                          it->second.stage != Placement::Stage::bound;
        if (task.state == TaskState::exited) {
            if (ours) seen.insert({job->serial, task.index});
            task_exited(machine, *job, task, now);
            const auto phase = job->phase[task.index];
            // Guard against repeated work: a result may be forgotten only when the done-set that
            // holds it is durable.
            const bool keep = task.cause == ExitCause::done && !job->over() &&
                              phase != TaskPhase::durable;
            const bool last = task.cause == ExitCause::done && job->final == Final::done &&
                              !job->final_durable;
            const bool may_return = machine.unanswered.contains({task.job, task.attempt});
            if (!keep && !last && !may_return)
                orders.push_back({Order::Verb::forget, task.job, task.index, task.attempt, {}});
            continue;
        }
        if (ours) {
            auto& placement = it->second;
            seen.insert({job->serial, task.index});
            if (placement.stage != Placement::Stage::on) placement.since = now;
            placement.stage = Placement::Stage::on;
            placement.in_flight = false;
            const bool was_running = placement.state == TaskState::running;
            placement.state = task.state;
            if (task.state == TaskState::running && !was_running) placement.running_from = now;
            if (task.state != TaskState::fetching) note_image(machine, *job);
            continue;
        }
        if (it != job->placed.end()) {
            orders.push_back({Order::Verb::stop, task.job, task.index, task.attempt, {}});
            continue;
        }
        // Guard against ran_twice after a takeover: whatever a confirmed machine runs takes the
        // task's place, wanted or not, so that nothing starts elsewhere before it is gone. This
        // holds while the catalog is not read yet, too: the type is judged only when known.
        const bool same_gang =
            job->spec.kind != Kind::gang ||
            std::all_of(job->placed.begin(), job->placed.end(), [&](const auto& other) {
                return other.second.attempt == task.attempt;
            });
        const bool wanted = !job->over() && job->phase[task.index] == TaskPhase::idle &&
                            same_gang && (!machine.type_known || allowed(job->spec, machine));
        Placement placement;
        placement.machine = machine.name;
        placement.attempt = task.attempt;
        placement.stage = Placement::Stage::on;
        placement.state = task.state;
        placement.since = placement.running_from = now;
        if (!wanted) stop(*job, placement, Seconds{0});
        if (job->phase[task.index] == TaskPhase::idle)
            job->set_phase(task.index, TaskPhase::placed);
        hold(machine, *job, task.index, placement);
        seen.insert({job->serial, task.index});
        if (task.state != TaskState::fetching) note_image(machine, *job);
    }

    std::vector<std::pair<std::uint64_t, std::uint32_t>> held;
    for (const auto& [key, task] : machine.held) held.push_back(key);
    for (const auto& key : held) {
        const auto entry = machine.held.find(key);
        if (seen.contains(key) || entry == machine.held.end()) continue;
        auto& job = *entry->second.job;
        auto& placement = *entry->second.placement;
        if (placement.stage == Placement::Stage::bound) continue;
        if (placement.in_flight && report.session == placement.ordered_session) {
            // Once the call is given up, the same start is repeated the sure way: the worker
            // then has the attempt, and a late copy of the call does nothing.
            if (!machine.call_out && !job.over() && !placement.stopping)
                orders.push_back({Order::Verb::start, job.spec.id, key.second, placement.attempt,
                                  {}});
            continue;
        }
        if (placement.stage == Placement::Stage::ordered) {
            // Guard against ran_twice: the answer to a direct call may overtake the answer to a
            // report, and the start that the latter carries is still to come.
            if (source == Source::direct_answer && report.session == placement.ordered_session)
                continue;
            // The worker sent this report after it took or gave up the answer with the start, so
            // the start has not happened and never will.
            ++counts_.refused_starts;
            if (job.over() || placement.stopping || job.spec.kind == Kind::gang) {
                const auto attempt = placement.attempt;
                drop(job, key.second);
                if (!job.over()) gang_broken(job, attempt, now);
            } else {
                placement.stage = Placement::Stage::bound;
                placement.since = now;
            }
            continue;
        }
        ++counts_.lost;
        const auto attempt = placement.attempt;
        drop(job, key.second);
        gang_broken(job, attempt, now);
    }

    machine.strays = Resources{};
    for (const auto& task : machine.tasks) {
        if (task.state == TaskState::exited) continue;
        const auto* job = find(task.job);
        if (job && !machine.held.contains({job->serial, task.index}))
            machine.strays += job->spec.need;
    }

    // Jobs that are over and nowhere any more leave memory.
    std::vector<Job*> leaving;
    for (const auto& key : held) {
        const auto it = jobs_.find(key.first);
        if (it == jobs_.end()) continue;
        auto& job = *it->second;
        if (job.final_durable && job.placed.empty() &&
            std::find(leaving.begin(), leaving.end(), &job) == leaving.end())
            leaving.push_back(&job);
    }
    for (auto* job : leaving) forget_job(*job);
}

void Controller::task_exited(Machine& machine, Job& job, const ReportedTask& task, TimePoint now) {
    const auto it = job.placed.find(task.index);
    const bool ours = it != job.placed.end() && it->second.machine == machine.name &&
                      it->second.attempt == task.attempt &&
                      it->second.stage != Placement::Stage::bound;
    if (task.cause == ExitCause::done) {
        if (ours && it->second.stage == Placement::Stage::on &&
            it->second.state == TaskState::running)
            note_run(job, between(it->second.running_from, now));
        if (ours) drop(job, task.index);
        machine.failed_jobs.clear();
        note_image(machine, job);
        if (job.over()) return;
        const auto finished_before = job.finished;
        const auto last = job.spec.tasks - 1;
        // The tasks of a gang complete together.
        if (job.spec.kind == Kind::gang) {
            for (std::uint32_t i = 0; i <= last; ++i)
                if (job.phase[i] != TaskPhase::durable && job.phase[i] != TaskPhase::done)
                    mark_done(job, {{i, i}}, TaskPhase::done);
        } else if (job.phase[task.index] != TaskPhase::durable &&
                   job.phase[task.index] != TaskPhase::done) {
            mark_done(job, {{task.index, task.index}}, TaskPhase::done);
        }
        if (job.finished == finished_before) return;
        changed(job, now);
        if (job.finished == job.spec.tasks && job.spec.kind != Kind::service)
            finish(job, Final::done, now);
        return;
    }
    if (!ours) return;
    const auto attempt = it->second.attempt;
    drop(job, task.index);
    if (task.cause == ExitCause::error) {
        ++counts_.errors;
        ++job.errors;
        machine.failed_jobs.insert(job.spec.id);
        // Failures of several jobs speak against the machine, failures everywhere against the job.
        if (machine.failed_jobs.size() >= 2) machine.failing = true;
        const double exponent = std::min<double>(job.errors, 6) - 1;
        const Seconds pause{std::min(30.0, std::pow(2.0, exponent) * 0.5)};
        job.not_before = later(now, pause);
    }
    if (!job.over()) gang_broken(job, attempt, now);
}

void Controller::gang_broken(Job& job, std::uint64_t attempt, TimePoint now) {
    (void)now;
    if (job.spec.kind != Kind::gang) return;
    std::vector<std::uint32_t> bound;
    for (auto& [index, placement] : job.placed) {
        if (placement.attempt != attempt) continue;
        if (placement.stage == Placement::Stage::bound)
            bound.push_back(index);
        else if (!placement.stopping)
            stop(job, placement, Seconds{0});
    }
    for (const auto index : bound) drop(job, index);
}

void Controller::stop_for_drain(Machine& machine, TimePoint now) {
    std::vector<std::pair<Job*, std::uint32_t>> unbind;
    for (const auto& [key, task] : machine.held) {
        auto& job = *task.job;
        auto& placement = *task.placement;
        if (placement.stage == Placement::Stage::bound) {
            unbind.push_back({&job, key.second});
            continue;
        }
        if (placement.stopping) continue;
        const bool saves = job.spec.checkpoint > Seconds{0};
        if (machine.taken_at) {
            const auto left = between(now, *machine.taken_at);
            // What ends before the machine is taken may go on; what cannot save has nothing to
            // lose by trying.
            if (!saves || remaining(job, placement, now) < left) continue;
            if (left > job.spec.save_time + config_.workers.report + Seconds{1}) continue;
        }
        if (job.spec.kind == Kind::gang) {
            for (auto& [other, p] : job.placed)
                if (p.stage != Placement::Stage::bound)
                    stop(job, p, saves ? job.spec.save_time + Seconds{1} : Seconds{0});
        } else {
            stop(job, placement, saves ? job.spec.save_time + Seconds{1} : Seconds{0});
        }
    }
    for (const auto& [job, index] : unbind) {
        const auto attempt = job->placed.at(index).attempt;
        drop(*job, index);
        gang_broken(*job, attempt, now);
    }
}

void Controller::stop_ready(Machine& machine, TimePoint now, std::vector<Order>& orders) {
    if (!machine.confirmed) return;
    for (const auto& [key, task] : machine.held) {
        auto& placement = *task.placement;
        if (placement.stage != Placement::Stage::on || !placement.stopping) continue;
        // Once told with grace, a task saves on its own; the order is repeated only when the
        // answer that carried it may have been lost.
        const bool lost = between(placement.stop_sent, now) > config_.workers.report * 2;
        if (placement.state == TaskState::saving && placement.grace > Seconds{0}) continue;
        if (placement.stop_sent != TimePoint{} && !lost) continue;
        placement.stop_sent = now;
        orders.push_back({Order::Verb::stop, task.job->spec.id, key.second,
                                 placement.attempt, placement.grace});
    }
}

void Controller::start_ready(Machine& machine, TimePoint now, bool direct,
                             std::vector<Order>& orders) {
    if (!usable(machine, now)) return;
    struct Ready {
        std::uint32_t index;
        HeldTask task;
    };
    std::vector<Ready> ready;
    Resources taken = machine.strays;
    for (const auto& [key, task] : machine.held) {
        if (task.placement->stage == Placement::Stage::bound)
            ready.push_back({key.second, task});
        else
            taken += task.job->spec.need;
    }
    if (ready.empty()) return;
    // The ready list: the shortest-makespan pipeline's task first, ties to the longest RPM.
    std::stable_sort(ready.begin(), ready.end(), [](const Ready& a, const Ready& b) {
        const auto& x = *a.task.placement;
        const auto& y = *b.task.placement;
        if (x.rank != y.rank) return x.rank < y.rank;
        if (x.makespan != y.makespan) return x.makespan < y.makespan;
        return x.rpm > y.rpm;
    });
    const auto& size = types_[machine.type].size;
    for (const auto& [index, task] : ready) {
        const auto* job = task.job;
        if (!(size - taken).holds(job->spec.need)) break;
        auto& placement = *task.placement;
        taken += job->spec.need;
        placement.stage = Placement::Stage::ordered;
        placement.ordered_session = machine.session;
        placement.ordered_seq = machine.seq;
        placement.in_flight = direct;
        placement.since = now;
        ++counts_.starts;
        orders.push_back({Order::Verb::start, job->spec.id, index, placement.attempt, {}});
    }
}

void Controller::lose(Machine& machine, TimePoint now) {
    std::vector<std::pair<Job*, std::uint32_t>> held;
    for (const auto& [key, task] : machine.held) held.push_back({task.job, key.second});
    for (const auto& [held_job, index] : held) {
        auto& job = *held_job;
        const auto it = job.placed.find(index);
        if (it == job.placed.end()) continue;
        const auto attempt = it->second.attempt;
        if (it->second.stage != Placement::Stage::bound) ++counts_.lost;
        drop(job, index);
        if (!job.over()) gang_broken(job, attempt, now);
    }
}

void Controller::released(const std::vector<std::string>& names, TimePoint now) {
    for (const auto& name : names) {
        const auto it = machines_.find(name);
        if (it == machines_.end()) continue;
        lose(it->second, now);
        if (it->second.durable || it->second.stamp != 0) dropping_[name] = it->second.stamp;
        machines_.erase(it);
        if (gone_.insert(name).second) gone_order_.push_back(name);
        if (gone_order_.size() > gone_remembered) {
            gone_.erase(gone_order_.front());
            gone_order_.pop_front();
        }
    }
    std::vector<Job*> leaving;
    for (const auto& [serial, job] : jobs_)
        if (job->final_durable && job->placed.empty()) leaving.push_back(job.get());
    for (auto* job : leaving) forget_job(*job);
}

void Controller::listed(const std::vector<ListedMachine>& machines, TimePoint now) {
    std::vector<std::string> failed;
    for (const auto& entry : machines) {
        if (gone_.contains(entry.name)) continue;
        if (entry.stage == MachineStage::failed) {
            // A failed entry proves that the machine has stopped. It is deleted below; until the
            // deletion is answered its tasks stay where they are, which costs one call.
            auto it = machines_.find(entry.name);
            if (it != machines_.end()) {
                it->second.releasing = true;
                continue;
            }
        }
        auto [it, fresh] = machines_.try_emplace(entry.name);
        if (it->second.address.empty()) it->second.address = entry.address;
        if (!fresh) continue;
        // A machine that nobody here asked for: a late rental, or one of a former steward.
        auto& machine = it->second;
        machine.name = entry.name;
        machine.address = entry.address;
        machine.type_name = entry.type;
        if (const auto type = type_index_.find(entry.type); type != type_index_.end()) {
            machine.type = type->second;
            machine.type_known = true;
        }
        machine.zone = entry.zone;
        machine.spot = entry.spot;
        machine.first_seen = later(now, -entry.age);
        machine.last_report = machine.idle_since = now;
        if (entry.stage == MachineStage::failed) machine.releasing = true;
    }
}

std::vector<Change> Controller::changes(std::size_t most_operations, TimePoint now) const {
    constexpr Seconds done_set_pause{0.8};
    std::vector<Change> out;
    std::size_t operations = 0;
    const auto room = [&](std::size_t n) { return operations + n <= most_operations; };
    // Cancellations and final states first, then new jobs, then machines, then done-sets.
    for (const int pass : {0, 1, 2}) {
        for (const auto& [serial, job] : jobs_) {
            if (job->changed == job->written) continue;
            const bool last = job->over();
            const bool first = !last && !job->durable;
            if ((pass == 0) != last || (pass == 1) != first) continue;
            if (pass == 2 && between(job->changed_at, now) < done_set_pause) continue;
            if (!room(last ? 2 : 1)) return out;
            operations += last ? 2 : 1;
            Change change;
            change.what = last ? Change::What::finish_job : Change::What::put_job;
            change.id = job->spec.id;
            change.version = job->changed;
            change.stamp = job->stamp;
            change.job = to_record(*job, config_.name);
            out.push_back(std::move(change));
        }
        if (pass != 1) continue;
        for (const auto& [name, machine] : machines_) {
            // Recorded once it is up and its address is known: before that nothing can start there.
            if (machine.durable || machine.releasing || !machine.type_known || !machine.reported)
                continue;
            if (!room(1)) return out;
            ++operations;
            Change change;
            change.what = Change::What::put_machine;
            change.id = name;
            change.stamp = machine.stamp;
            change.machine = {name, machine.address, machine.type_name, machine.zone,
                              machine.spot, MachineStage::running, Seconds{0}};
            out.push_back(std::move(change));
        }
        for (const auto& [name, stamp] : dropping_) {
            if (!room(1)) return out;
            ++operations;
            Change change;
            change.what = Change::What::drop_machine;
            change.id = name;
            change.stamp = stamp;
            out.push_back(std::move(change));
        }
    }
    return out;
}

void Controller::written(const std::vector<Change>& changes, std::uint64_t stamp, TimePoint now) {
    for (const auto& change : changes) {
        if (change.what == Change::What::put_machine) {
            const auto it = machines_.find(change.id);
            if (it != machines_.end()) {
                it->second.durable = true;
                it->second.stamp = stamp;
            } else {
                dropping_[change.id] = stamp;  // returned while its record was being written
            }
            continue;
        }
        if (change.what == Change::What::drop_machine) {
            dropping_.erase(change.id);
            continue;
        }
        auto* job = find(change.id);
        if (!job) continue;
        job->durable = true;
        job->stamp = stamp;
        job->written = change.version;
        if (job->changed != job->written) job->changed_at = now;
        mark_done(*job, change.job.done, TaskPhase::durable);
        if (change.what == Change::What::finish_job) {
            job->final_durable = true;
            job->written = job->changed;
            if (job->placed.empty()) forget_job(*job);
        }
    }
}

void Controller::restamp(Change::What what, const std::string& id, std::uint64_t stamp) {
    if (what == Change::What::put_machine) {
        if (const auto it = machines_.find(id); it != machines_.end()) it->second.stamp = stamp;
    } else if (what == Change::What::drop_machine) {
        if (stamp == 0)
            dropping_.erase(id);
        else if (dropping_.contains(id))
            dropping_[id] = stamp;
    } else if (auto* job = find(id)) {
        job->stamp = stamp;
        if (stamp != 0 && !job->durable) job->durable = job->found = true;
    }
}

}  // namespace bendspindle::core
