#include "core/write_queue.hpp"

namespace bendspindle::core {

namespace {

// Task completions within this time are written together.
constexpr Seconds done_set_delay{0.8};
// The terminal record replaces the open one, which takes two operations.
constexpr std::size_t terminal_state_operations = 2;

}  // namespace

// Collects writes up to a maximum number of operations.
class WriteQueue::WriteBatch {
  public:
    explicit WriteBatch(std::size_t max_operations) : max_operations_(max_operations) {}
    // Returns false if the write does not fit. No further writes are accepted then, which preserves
    // their order.
    bool add(RecordWrite write, std::size_t operations = 1) {
        full_ = full_ || operations_ + operations > max_operations_;
        if (full_) return false;
        operations_ += operations;
        writes_.push_back(std::move(write));
        return true;
    }
    bool full() const { return full_; }
    std::vector<RecordWrite> take() { return std::move(writes_); }

  private:
    std::size_t max_operations_;
    std::size_t operations_ = 0;
    bool full_ = false;
    std::vector<RecordWrite> writes_;
};

bool WriteQueue::is_due(const Job& job, Pass pass, TimePoint now) const {
    if (job.record.version == job.record.durable_version) return false;
    if (job.is_terminal())
        return pass == Pass::terminal_states && now >= terminal_states_not_before_;
    if (!job.record.durable) return pass == Pass::new_jobs;
    return pass == Pass::done_sets && between(job.record.changed_at, now) >= done_set_delay;
}

void WriteQueue::add_jobs(WriteBatch& batch, Pass pass, TimePoint now) const {
    for (const auto& [serial, job] : job_table_.all()) {
        if (!is_due(*job, pass, now)) continue;
        RecordWrite write;
        write.type =
            job->is_terminal() ? RecordWrite::Type::finish_job : RecordWrite::Type::put_job;
        write.id = job->spec.id;
        write.version = job->record.version;
        write.mod_revision = job->record.mod_revision;
        write.job = to_record(*job, config_.name);
        if (!batch.add(std::move(write), job->is_terminal() ? terminal_state_operations : 1))
            return;
    }
}

void WriteQueue::add_machines(WriteBatch& batch) const {
    for (const auto& [name, machine] : inventory_.all()) {
        // A machine is recorded once it is up and its address is known; nothing can start there
        // before.
        if (!inventory_.needs_record(machine)) continue;
        RecordWrite write;
        write.type = RecordWrite::Type::put_machine;
        write.id = name;
        write.mod_revision = machine.record.mod_revision;
        write.machine = {name,
                         machine.identity.address,
                         machine.identity.type_name,
                         machine.identity.zone,
                         machine.identity.spot,
                         MachineStage::running,
                         Seconds{0}};
        if (!batch.add(std::move(write))) return;
    }
    for (const auto& [name, mod_revision] : inventory_.records_to_delete()) {
        RecordWrite write;
        write.type = RecordWrite::Type::delete_machine;
        write.id = name;
        write.mod_revision = mod_revision;
        if (!batch.add(std::move(write))) return;
    }
}

std::vector<RecordWrite> WriteQueue::due(std::size_t max_operations, TimePoint now) const {
    WriteBatch batch(max_operations);
    add_jobs(batch, Pass::terminal_states, now);
    if (!batch.full()) add_jobs(batch, Pass::new_jobs, now);
    if (!batch.full()) add_machines(batch);
    if (!batch.full()) add_jobs(batch, Pass::done_sets, now);
    return batch.take();
}

std::vector<std::string> WriteQueue::mark_sent(const std::vector<RecordWrite>& writes) {
    std::vector<std::string> out;
    for (const auto& write : writes) {
        if (write.type != RecordWrite::Type::finish_job) continue;
        auto* job = job_table_.find(write.id);
        if (!job || job->terminal.write_sent) continue;
        job->terminal.write_sent = true;
        out.push_back(write.id);
    }
    return out;
}

void WriteQueue::mark_rejected(const std::vector<std::string>& terminal_states) {
    for (const auto& id : terminal_states)
        if (auto* job = job_table_.find(id)) job->terminal.write_sent = false;
}

void WriteQueue::mark_committed(const std::vector<RecordWrite>& writes, std::uint64_t mod_revision,
                                TimePoint now) {
    for (const auto& write : writes) {
        using Type = RecordWrite::Type;
        if (write.type == Type::put_machine) {
            inventory_.mark_recorded(write.id, mod_revision);
        } else if (write.type == Type::delete_machine) {
            inventory_.mark_record_deleted(write.id);
        } else if (auto* job = job_table_.find(write.id)) {
            job_table_.mark_committed(*job, write.job, write.version, mod_revision, now);
            if (write.type == Type::finish_job) job_table_.mark_terminal_state_committed(*job);
        }
    }
}

void WriteQueue::set_mod_revision(RecordWrite::Type type, const std::string& id,
                                  std::uint64_t mod_revision) {
    if (type == RecordWrite::Type::put_machine)
        inventory_.set_mod_revision(id, mod_revision);
    else if (type == RecordWrite::Type::delete_machine)
        inventory_.set_deleted_record_mod_revision(id, mod_revision);
    else
        job_table_.set_mod_revision(id, mod_revision);
}

}  // namespace bendspindle::core
