// Owner of the machines: which there are, what is known of each, what each holds, and what proves
// that one is gone.
//
//  - The token is the term of the view. A machine is *confirmed* once a message of its own shows
//    it; from then on its task list is the truth (docs/design.md, "Placing anew").
//  - Only `remove` says that a machine is gone, and only an answered release leads to it.
//  - Heard and hearing are two facts. A report proves that a machine is heard. That it hears is
//    proved only by what could not be there without a word of ours: a token that rose, an order
//    that shows in its next report, an answered direct call (docs/troubles.md).
//
// What a machine holds is an index into the jobs' placements; `Pipelines` changes both together.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/cluster/job.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/config.hpp"
#include "core/model/types.hpp"
#include "core/scheduling/dsmf.hpp"

namespace bendspindle::core {

// A placement on a machine, with a short way to it: a machine's list is walked far more often
// than it changes. Both live as long as the entry (`Pipelines::drop` removes them together).
struct HeldTask {
    Job* job = nullptr;
    Assignment* assignment = nullptr;
};
using HeldKey = std::pair<std::uint64_t, std::uint32_t>;  // job serial, task

struct CachedImage {
    dsmf::ImageId id = 0;
    double gb = 0;
};

struct Machine {
    std::string name;
    std::string address;
    std::size_t type = 0;
    bool type_known = false;
    std::string type_name;
    std::string zone;
    bool spot = false;

    bool unreadable = false;   // its record: anything may run there until it is confirmed
    bool durable = false;      // recorded in the state service: starts may be ordered
    bool confirmed = false;    // a report of its own has shown this term's token
    bool reported = false;     // any report in this term
    bool cloud_knows = false;  // rented or listed in this term: no late copy made it up
    bool releasing = false;
    bool failing = false;  // tasks of several jobs failed on it
    std::uint64_t mod_revision = 0;
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
    TimePoint first_seen{};
    TimePoint last_heartbeat{};  // or later, where this controller itself stood still
    TimePoint heard_at{};        // its last message, for certain
    TimePoint heartbeat_at{};    // its last report of its own accord, or its first sign of life
    TimePoint idle_since{};
    TimePoint loaded_at{};
    std::optional<TimePoint> unwanted_since;  // planning has had no use for it
    bool closing = false;                     // gets no more tasks, and is returned when empty
    std::optional<TimePoint> taken_at;        // spot notice: when the cloud takes it
    std::vector<ReportedTask> tasks;          // of the last report
    std::map<HeldKey, HeldTask> held;
    Resources untracked_resources;    // of tasks in the last report that are no placement of ours
    bool has_orphaned_tasks = false;  // tasks of jobs that are over or not understood are there
    std::optional<TimePoint> orphaned_since;  // tasks of jobs that are over
    TimePoint orphans_stopped_at{};           // when stops for them last went out by direct call
    std::vector<CachedImage> images;          // most recently used last
    // Jobs of which a task failed here since a task was last done, with what that says against the
    // machine; 1 of each, less of jobs that fail everywhere.
    std::map<std::string, double> failed_jobs;
    // What the answer to its last report ordered, until the next one shows whether it was heard.
    std::vector<TaskCommand> asked;
    std::uint32_t unheeded = 0;            // reports in a row that showed none of what was ordered
    std::optional<TimePoint> deaf_since;   // heard, but by all signs it does not hear
    std::optional<TimePoint> heard_since;  // its first report in this term
    bool call_out = false;                 // one direct call at a time
    TimePoint last_call{};
    // Attempts whose direct start was never answered: a late copy may still arrive, and would
    // start them again if the worker had been told to forget them.
    std::set<std::pair<std::string, std::uint64_t>> unanswered;

    bool draining() const { return releasing || failing || taken_at.has_value(); }
    // What its tasks take, bound ones included.
    Resources used() const;
    // Whether a message of this session and sequence is older than one already seen.
    bool has_seen(const Heartbeat& heartbeat) const {
        return std::pair(heartbeat.agent_epoch, heartbeat.sequence) <=
               std::pair(agent_epoch, sequence);
    }
};

class MachineInventory {
  public:
    MachineInventory(const Config& config, const MachineCatalog& catalog)
        : config_(config), catalog_(catalog) {}

    std::map<std::string, Machine>& all() { return machines_; }
    const std::map<std::string, Machine>& all() const { return machines_; }
    Machine& at(const std::string& name) { return machines_.at(name); }
    const Machine& at(const std::string& name) const { return machines_.at(name); }
    Machine* find(const std::string& name);

    void catalog_changed();
    // Ways in which machines become known.
    void load(const ListedMachine& record, std::uint64_t mod_revision, TimePoint now);
    // Its name is all that is known of it: until it reports or is gone it may hold anything.
    void load_unreadable(const std::string& name, std::uint64_t mod_revision, TimePoint now);
    Machine& meet(const Heartbeat& heartbeat, TimePoint now);
    void scaled_out(const ScaleOutRequest& request, const std::vector<std::string>& names,
                    TimePoint now);
    // The whole list, asked for at `asked`.
    void listed(const std::vector<ListedMachine>& machines, TimePoint asked, TimePoint now);

    // How a machine's message came: of its own accord, or because it was called.
    enum class By : std::uint8_t { heartbeat, call };
    // What a message of the machine's own says of it.
    void observe(Machine& machine, const Heartbeat& heartbeat, By by, TimePoint now);
    // Its message has shown this term's token.
    void confirm(Machine& machine, TimePoint now);
    // What a newer report shows of the orders that the answer before it carried.
    void heed(Machine& machine, const Heartbeat& heartbeat, TimePoint now);
    // It has shown that a word of ours arrived.
    static void hears(Machine& machine);
    // Called at least once a cycle, before time is judged by: a longer pause is this controller's
    // own, and is no machine's silence.
    void keep_time(TimePoint now);
    // Marks for release what is silent, never came up, fails, or holds what must be gone.
    void watch(TimePoint now);
    // Whether it holds what was cancelled so long ago that it must be gone, whatever else is true.
    bool overdue(const Machine& machine, TimePoint now) const;
    // Its release was answered: it is gone, and stays so whatever is heard of it later.
    void remove(const std::string& name);
    bool gone(const std::string& name) const { return gone_.contains(name); }

    // Whether tasks may be placed and started on it.
    bool usable(const Machine& machine, TimePoint now) const;
    bool allows(const JobSpec& spec, const Machine& machine) const {
        return machine.type_known && allowed(spec, machine.type_name, machine.zone, machine.spot);
    }
    // Could a job of an older term have tasks on machines that are not confirmed yet?
    bool in_doubt(const Job& job) const;
    // Recorded machines that have not shown this term's token.
    std::size_t unconfirmed() const;
    void note_image(Machine& machine, const Job& job);

    // Whether it is there for certain, and not only in a report, which may be the late copy of one
    // from a machine that a former controller has returned.
    static bool certain(const Machine& machine) {
        return machine.durable || machine.confirmed || machine.cloud_knows;
    }

    // Records in the state service. Guard against a record for nothing: a copy of an old report
    // made a machine again, and work of the term before waited for its confirmation.
    bool wants_record(const Machine& machine) const {
        return !machine.durable && !machine.releasing && machine.type_known && machine.reported &&
               certain(machine);
    }
    // Gone machines whose records are to go, with the records' mod_revisions.
    const std::map<std::string, std::uint64_t>& records_to_drop() const { return dropping_; }
    void recorded(const std::string& name, std::uint64_t mod_revision);
    void record_dropped(const std::string& name) { dropping_.erase(name); }
    void set_mod_revision(const std::string& name, std::uint64_t mod_revision);
    // `mod_revision` 0: there is no record any more.
    void set_dropped_mod_revision(const std::string& name, std::uint64_t mod_revision);

  private:
    TimePoint seen_in_list_by(const Machine& machine) const;
    bool out_of_reach(const Machine& machine, TimePoint now) const;
    void release_out_of_reach(TimePoint now);
    void set_type(Machine& machine);
    void describe(Machine& machine, const std::string& name, const std::string& type,
                  const std::string& zone, bool spot);

    const Config& config_;
    const MachineCatalog& catalog_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, std::uint64_t> dropping_;
    std::optional<TimePoint> kept_time_;  // last
    std::deque<TimePoint> given_up_;      // when machines out of reach were, of late
    std::set<std::string> gone_;
    std::deque<std::string> gone_order_;
};

}  // namespace bendspindle::core
