#include "core/write_queue.hpp"

namespace bendspindle::core {

namespace {

// Completions within this time are written together.
constexpr Seconds done_set_pause{0.8};
// The terminal record takes the open one's place: two operations.
constexpr std::size_t operations_of_terminal_state = 2;

}  // namespace

// Collects writes up to a number of operations.
class WriteQueue::Gathering {
  public:
    explicit Gathering(std::size_t most) : most_(most) {}
    // False: it is full, and takes no more of anything, so that the order is kept.
    bool add(RecordWrite change, std::size_t operations = 1) {
        full_ = full_ || operations_ + operations > most_;
        if (full_) return false;
        operations_ += operations;
        writes_.push_back(std::move(change));
        return true;
    }
    bool full() const { return full_; }
    std::vector<RecordWrite> take() { return std::move(writes_); }

  private:
    std::size_t most_;
    std::size_t operations_ = 0;
    bool full_ = false;
    std::vector<RecordWrite> writes_;
};

bool WriteQueue::belongs(const Job& job, Pass pass, TimePoint now) const {
    if (job.record.version == job.record.durable_version) return false;
    if (job.is_terminal()) return pass == Pass::terminal_states && now >= terminal_states_from_;
    if (!job.record.durable) return pass == Pass::new_jobs;
    return pass == Pass::done_sets && between(job.record.changed_at, now) >= done_set_pause;
}

void WriteQueue::gather_jobs(Gathering& gathering, Pass pass, TimePoint now) const {
    for (const auto& [serial, job] : job_table_.all()) {
        if (!belongs(*job, pass, now)) continue;
        RecordWrite change;
        change.type =
            job->is_terminal() ? RecordWrite::Type::finish_job : RecordWrite::Type::put_job;
        change.id = job->spec.id;
        change.version = job->record.version;
        change.mod_revision = job->record.mod_revision;
        change.job = to_record(*job, config_.name);
        if (!gathering.add(std::move(change),
                           job->is_terminal() ? operations_of_terminal_state : 1))
            return;
    }
}

void WriteQueue::gather_machines(Gathering& gathering) const {
    for (const auto& [name, machine] : inventory_.all()) {
        // Recorded once it is up and its address is known: before that nothing can start there.
        if (!inventory_.wants_record(machine)) continue;
        RecordWrite change;
        change.type = RecordWrite::Type::put_machine;
        change.id = name;
        change.mod_revision = machine.record.mod_revision;
        change.machine = {name,
                          machine.identity.address,
                          machine.identity.type_name,
                          machine.identity.zone,
                          machine.identity.spot,
                          MachineStage::running,
                          Seconds{0}};
        if (!gathering.add(std::move(change))) return;
    }
    for (const auto& [name, mod_revision] : inventory_.records_to_drop()) {
        RecordWrite change;
        change.type = RecordWrite::Type::drop_machine;
        change.id = name;
        change.mod_revision = mod_revision;
        if (!gathering.add(std::move(change))) return;
    }
}

std::vector<RecordWrite> WriteQueue::due(std::size_t most_operations, TimePoint now) const {
    Gathering gathering(most_operations);
    gather_jobs(gathering, Pass::terminal_states, now);
    if (!gathering.full()) gather_jobs(gathering, Pass::new_jobs, now);
    if (!gathering.full()) gather_machines(gathering);
    if (!gathering.full()) gather_jobs(gathering, Pass::done_sets, now);
    return gathering.take();
}

std::vector<std::string> WriteQueue::sent(const std::vector<RecordWrite>& changes) {
    std::vector<std::string> out;
    for (const auto& change : changes) {
        if (change.type != RecordWrite::Type::finish_job) continue;
        auto* job = job_table_.find(change.id);
        if (!job || job->terminal.sent) continue;
        job->terminal.sent = true;
        out.push_back(change.id);
    }
    return out;
}

void WriteQueue::rejected(const std::vector<std::string>& terminal_states) {
    for (const auto& id : terminal_states)
        if (auto* job = job_table_.find(id)) job->terminal.sent = false;
}

void WriteQueue::committed(const std::vector<RecordWrite>& changes, std::uint64_t mod_revision,
                           TimePoint now) {
    for (const auto& change : changes) {
        using Type = RecordWrite::Type;
        if (change.type == Type::put_machine) {
            inventory_.recorded(change.id, mod_revision);
        } else if (change.type == Type::drop_machine) {
            inventory_.record_dropped(change.id);
        } else if (auto* job = job_table_.find(change.id)) {
            job_table_.committed(*job, change.job, change.version, mod_revision, now);
            if (change.type == Type::finish_job) job_table_.terminal_state_committed(*job);
        }
    }
}

void WriteQueue::set_mod_revision(RecordWrite::Type type, const std::string& id,
                                  std::uint64_t mod_revision) {
    if (type == RecordWrite::Type::put_machine)
        inventory_.set_mod_revision(id, mod_revision);
    else if (type == RecordWrite::Type::drop_machine)
        inventory_.set_dropped_mod_revision(id, mod_revision);
    else
        job_table_.set_mod_revision(id, mod_revision);
}

}  // namespace bendspindle::core
