#include "core/changes.hpp"

namespace bendspindle::core {

namespace {

constexpr Seconds done_set_pause{0.8};
// A final record takes the open one's place: two operations.
constexpr std::size_t operations_of_final = 2;

}  // namespace

// Changes up to a number of operations.
class PendingChanges::Gathering {
  public:
    explicit Gathering(std::size_t most) : most_(most) {}
    // False: it is full, and takes no more of anything, so that the order is kept.
    bool add(Change change, std::size_t operations = 1) {
        full_ = full_ || operations_ + operations > most_;
        if (full_) return false;
        operations_ += operations;
        changes_.push_back(std::move(change));
        return true;
    }
    bool full() const { return full_; }
    std::vector<Change> take() { return std::move(changes_); }

  private:
    std::size_t most_;
    std::size_t operations_ = 0;
    bool full_ = false;
    std::vector<Change> changes_;
};

bool PendingChanges::belongs(const Job& job, Pass pass, TimePoint now) const {
    if (job.changed == job.written) return false;
    if (job.over()) return pass == Pass::finals && now >= finals_from_;
    if (!job.durable) return pass == Pass::new_jobs;
    return pass == Pass::done_sets && between(job.changed_at, now) >= done_set_pause;
}

void PendingChanges::gather_jobs(Gathering& gathering, Pass pass, TimePoint now) const {
    for (const auto& [serial, job] : pipelines_.all()) {
        if (!belongs(*job, pass, now)) continue;
        Change change;
        change.what = job->over() ? Change::What::finish_job : Change::What::put_job;
        change.id = job->spec.id;
        change.version = job->changed;
        change.stamp = job->stamp;
        change.job = to_record(*job, config_.name);
        if (!gathering.add(std::move(change), job->over() ? operations_of_final : 1)) return;
    }
}

void PendingChanges::gather_machines(Gathering& gathering) const {
    for (const auto& [name, machine] : fleet_.all()) {
        // Recorded once it is up and its address is known: before that nothing can start there.
        if (!fleet_.wants_record(machine)) continue;
        Change change;
        change.what = Change::What::put_machine;
        change.id = name;
        change.stamp = machine.stamp;
        change.machine = {name,         machine.address,       machine.type_name, machine.zone,
                          machine.spot, MachineStage::running, Seconds{0}};
        if (!gathering.add(std::move(change))) return;
    }
    for (const auto& [name, stamp] : fleet_.records_to_drop()) {
        Change change;
        change.what = Change::What::drop_machine;
        change.id = name;
        change.stamp = stamp;
        if (!gathering.add(std::move(change))) return;
    }
}

std::vector<Change> PendingChanges::due(std::size_t most_operations, TimePoint now) const {
    Gathering gathering(most_operations);
    gather_jobs(gathering, Pass::finals, now);
    if (!gathering.full()) gather_jobs(gathering, Pass::new_jobs, now);
    if (!gathering.full()) gather_machines(gathering);
    if (!gathering.full()) gather_jobs(gathering, Pass::done_sets, now);
    return gathering.take();
}

std::vector<std::string> PendingChanges::sent(const std::vector<Change>& changes) {
    std::vector<std::string> out;
    for (const auto& change : changes) {
        if (change.what != Change::What::finish_job) continue;
        auto* job = pipelines_.find(change.id);
        if (!job || job->final_sent) continue;
        job->final_sent = true;
        out.push_back(change.id);
    }
    return out;
}

void PendingChanges::not_executed(const std::vector<std::string>& finals) {
    for (const auto& id : finals)
        if (auto* job = pipelines_.find(id)) job->final_sent = false;
}

void PendingChanges::written(const std::vector<Change>& changes, std::uint64_t stamp,
                             TimePoint now) {
    for (const auto& change : changes) {
        using What = Change::What;
        if (change.what == What::put_machine) {
            fleet_.recorded(change.id, stamp);
        } else if (change.what == What::drop_machine) {
            fleet_.record_dropped(change.id);
        } else if (auto* job = pipelines_.find(change.id)) {
            pipelines_.written(*job, change.job, change.version, stamp, now);
            if (change.what == What::finish_job) pipelines_.final_written(*job);
        }
    }
}

void PendingChanges::restamp(Change::What what, const std::string& id, std::uint64_t stamp) {
    if (what == Change::What::put_machine)
        fleet_.restamp(id, stamp);
    else if (what == Change::What::drop_machine)
        fleet_.restamp_dropping(id, stamp);
    else
        pipelines_.restamp(id, stamp);
}

}  // namespace bendspindle::core
