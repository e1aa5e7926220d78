#include "core/controller.hpp"

namespace bendspindle::core {

Controller::Controller(Config config, std::uint64_t term)
    : config_(std::move(config)),
      term_(term),
      inventory_(config_, catalog_),
      job_table_(inventory_, term),
      quota_accounting_(config_, catalog_, inventory_, job_table_),
      agents_(config_, catalog_, inventory_, job_table_, estimates_, term),
      preemption_(config_, catalog_, inventory_, job_table_, estimates_),
      placement_cycle_(config_, catalog_, inventory_, job_table_, estimates_, quota_accounting_,
                       preemption_),
      autoscaler_(config_, catalog_, inventory_, job_table_, estimates_, quota_accounting_, term),
      write_queue_(config_, inventory_, job_table_) {}

void Controller::set_types(std::vector<MachineType> types) {
    catalog_.set(std::move(types));
    inventory_.catalog_changed();
}

void Controller::load_job(const JobRecord& record, std::uint64_t mod_revision, TimePoint now) {
    job_table_.load(record, mod_revision, now);
}

void Controller::load_machine(const ListedMachine& record, std::uint64_t mod_revision,
                              TimePoint now) {
    inventory_.load(record, mod_revision, now);
}

void Controller::load_unreadable_machine(const std::string& name, std::uint64_t mod_revision,
                                         TimePoint now) {
    inventory_.load_unreadable(name, mod_revision, now);
}

bool Controller::adopt(const JobRecord& record, std::uint64_t mod_revision, TimePoint now) {
    if (knows(record.spec.id)) return false;
    job_table_.adopt(record, mod_revision, now);
    autoscaler_.record_arrival(record.spec, now);
    return true;
}

Feasibility Controller::check(const JobSpec& spec) const {
    return check_feasibility(spec, config_.teams, catalog_.types());
}

bool Controller::accept(const JobSpec& spec, WallTime submitted, TimePoint now) {
    if (knows(spec.id)) return false;
    autoscaler_.record_arrival(spec, now);
    job_table_.accept(spec, submitted, now);
    return true;
}

bool Controller::durable(const std::string& id) const {
    const auto* job = job_table_.find(id);
    return job && job->record.durable;
}

bool Controller::found_existing_record(const std::string& id) const {
    const auto* job = job_table_.find(id);
    return job && job->record.found_in_store;
}

bool Controller::may_have_unfenced_tasks(const std::string& id) const {
    const auto* job = job_table_.find(id);
    return job && inventory_.may_have_unfenced_tasks(*job);
}

HeartbeatResponse Controller::heartbeat(const Heartbeat& heartbeat, TimePoint now) {
    return agents_.heartbeat(heartbeat, now);
}

std::vector<DirectCommand> Controller::direct_commands(TimePoint now, bool may_start) {
    return agents_.direct_commands(now, may_start);
}

void Controller::complete_direct_call(const DirectCommand& call, CommandOutcome outcome,
                                      const Heartbeat* answer, TimePoint now) {
    agents_.complete_direct_call(call, outcome, answer, now);
}

void Controller::cycle(TimePoint now) {
    if (!catalog_.known()) return;
    inventory_.update_health(now);
    agents_.drain(now);
    placement_cycle_.run(now);
}

ScalingPlan Controller::plan_scaling(TimePoint now) {
    return autoscaler_.plan(now);
}

void Controller::scaled_out(const ScaleOutRequest& request, const std::vector<std::string>& names,
                            TimePoint now) {
    autoscaler_.record_scale_out(request, names, now);
}

void Controller::released(const std::vector<std::string>& names) {
    for (const auto& name : names) agents_.released(name);
    job_table_.forget_all_terminal();
}

void Controller::apply_cloud_list(const std::vector<ListedMachine>& machines, TimePoint asked,
                                  TimePoint now) {
    inventory_.apply_cloud_list(machines, asked, now);
}

std::vector<RecordWrite> Controller::due_writes(std::size_t max_operations, TimePoint now) const {
    return write_queue_.due(max_operations, now);
}

std::vector<std::string> Controller::mark_sent(const std::vector<RecordWrite>& writes) {
    return write_queue_.mark_sent(writes);
}

void Controller::mark_rejected(const std::vector<std::string>& terminal_states) {
    write_queue_.mark_rejected(terminal_states);
}

void Controller::mark_committed(const std::vector<RecordWrite>& writes, std::uint64_t mod_revision,
                                TimePoint now) {
    write_queue_.mark_committed(writes, mod_revision, now);
}

void Controller::set_mod_revision(RecordWrite::Type type, const std::string& id,
                                  std::uint64_t mod_revision) {
    write_queue_.set_mod_revision(type, id, mod_revision);
}

}  // namespace bendspindle::core
