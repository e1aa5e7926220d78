#include "core/controller.hpp"

#include <set>

namespace bendspindle::core {

Controller::Controller(Config config, std::uint64_t epoch)
    : config_(std::move(config)),
      epoch_(epoch),
      fleet_(config_, catalog_),
      pipelines_(fleet_, epoch),
      ledger_(config_, catalog_, fleet_, pipelines_),
      dispatch_(config_, catalog_, fleet_, pipelines_, estimates_, epoch),
      preemption_(config_, catalog_, fleet_, pipelines_, estimates_),
      placing_(config_, catalog_, fleet_, pipelines_, estimates_, ledger_, preemption_),
      renting_(config_, catalog_, fleet_, pipelines_, estimates_, ledger_, epoch),
      changes_(config_, fleet_, pipelines_) {}

void Controller::set_types(std::vector<MachineType> types) {
    catalog_.set(std::move(types));
    fleet_.catalog_changed();
}

void Controller::load_job(const JobRecord& record, std::uint64_t stamp, TimePoint now) {
    pipelines_.load(record, stamp, now);
}

void Controller::load_machine(const ListedMachine& record, std::uint64_t stamp, TimePoint now) {
    fleet_.load(record, stamp, now);
}

void Controller::load_unreadable_machine(const std::string& name, std::uint64_t stamp,
                                         TimePoint now) {
    fleet_.load_unreadable(name, stamp, now);
}

bool Controller::learn(const JobRecord& record, std::uint64_t stamp, TimePoint now) {
    if (knows(record.spec.id)) return false;
    pipelines_.learn(record, stamp, now);
    renting_.arrived(record.spec, now);
    return true;
}

Verdict Controller::check(const JobSpec& spec) const {
    return judge(spec, config_.teams, catalog_.types());
}

bool Controller::accept(const JobSpec& spec, WallTime submitted, TimePoint now) {
    if (knows(spec.id)) return false;
    renting_.arrived(spec, now);
    pipelines_.accept(spec, submitted, now);
    return true;
}

bool Controller::durable(const std::string& id) const {
    const auto* job = pipelines_.find(id);
    return job && job->durable;
}

bool Controller::found(const std::string& id) const {
    const auto* job = pipelines_.find(id);
    return job && job->found;
}

bool Controller::in_doubt(const std::string& id) const {
    const auto* job = pipelines_.find(id);
    return job && fleet_.in_doubt(*job);
}

std::vector<std::string> Controller::cancelled_on_machines() const {
    std::set<std::string> out;
    for (const auto& [serial, job] : pipelines_.all())
        if (job->final == Final::cancelled && !job->placed.empty()) out.insert(job->spec.id);
    // What is over and not in memory: cancelled under a former leader, perhaps. The stop in the
    // answer that confirmed the machine may be lost.
    for (const auto& [name, machine] : fleet_.all()) {
        if (!machine.strangers) continue;
        for (const auto& task : machine.tasks)
            if (task.state != TaskState::exited && !knows(task.job) && !aside(task.job))
                out.insert(task.job);
    }
    return {out.begin(), out.end()};
}

ReportAnswer Controller::report(const Report& report, TimePoint now) {
    return dispatch_.report(report, now);
}

std::vector<DirectCall> Controller::direct_calls(TimePoint now, bool may_start) {
    return dispatch_.direct_calls(now, may_start);
}

void Controller::called(const DirectCall& call, CallOutcome outcome, const Report* answer,
                        TimePoint now) {
    dispatch_.called(call, outcome, answer, now);
}

void Controller::cycle(TimePoint now) {
    if (!catalog_.known()) return;
    fleet_.watch(now);
    dispatch_.drain(now);
    placing_.cycle(now);
}

RentPlan Controller::plan_renting(TimePoint now) {
    return renting_.plan(now);
}

void Controller::rented(const RentRequest& request, const std::vector<std::string>& names,
                        TimePoint now) {
    renting_.rented(request, names, now);
}

void Controller::released(const std::vector<std::string>& names) {
    for (const auto& name : names) dispatch_.released(name);
    pipelines_.forget_all_over();
}

void Controller::listed(const std::vector<ListedMachine>& machines, TimePoint asked,
                        TimePoint now) {
    fleet_.listed(machines, asked, now);
}

std::vector<Change> Controller::changes(std::size_t most_operations, TimePoint now) const {
    return changes_.due(most_operations, now);
}

std::vector<std::string> Controller::sent(const std::vector<Change>& changes) {
    return changes_.sent(changes);
}

void Controller::not_executed(const std::vector<std::string>& finals) {
    changes_.not_executed(finals);
}

void Controller::written(const std::vector<Change>& changes, std::uint64_t stamp, TimePoint now) {
    changes_.written(changes, stamp, now);
}

void Controller::restamp(Change::What what, const std::string& id, std::uint64_t stamp) {
    changes_.restamp(what, id, stamp);
}

}  // namespace bendspindle::core
