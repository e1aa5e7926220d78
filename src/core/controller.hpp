// The acting controller: home of the open pipelines, keeper of the machines and steward of
// renting. The place where reports, calls, cycles and writes enter; each fact and each decision
// has its own room behind it (docs/design.md, "Rooms"). Deterministic: everything it learns is
// passed in, with the time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/catalog.hpp"
#include "core/changes.hpp"
#include "core/config.hpp"
#include "core/dispatch.hpp"
#include "core/estimates.hpp"
#include "core/fleet.hpp"
#include "core/ledger.hpp"
#include "core/pipelines.hpp"
#include "core/placing.hpp"
#include "core/preemption.hpp"
#include "core/renting.hpp"

namespace bendspindle::core {

class Controller {
  public:
    Controller(Config config, std::uint64_t epoch);
    // Its rooms refer to each other.
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    std::uint64_t epoch() const { return epoch_; }

    // Taking over: what the state service holds.
    void set_types(std::vector<MachineType> types);
    void load_job(const JobRecord& record, std::uint64_t stamp, TimePoint now);
    void load_machine(const ListedMachine& record, std::uint64_t stamp, TimePoint now);
    // Records that cannot be read: what they are of is left alone, and everything else goes on.
    void load_unreadable_machine(const std::string& name, std::uint64_t stamp, TimePoint now);
    void set_aside(const std::string& job) { pipelines_.set_aside(job); }
    bool aside(const std::string& job) const { return pipelines_.aside(job); }

    // A job that another controller has accepted in this epoch. False: it was known already.
    bool learn(const JobRecord& record, std::uint64_t stamp, TimePoint now);

    // Users.
    Verdict check(const JobSpec& spec) const;
    bool knows(const std::string& id) const { return pipelines_.knows(id); }
    // False: the id was known already.
    bool accept(const JobSpec& spec, WallTime submitted, TimePoint now);
    std::optional<JobStatus> status(const std::string& id) const { return pipelines_.status(id); }
    bool durable(const std::string& id) const;
    // Whether tasks of it may be on machines that have not shown this epoch's token.
    bool in_doubt(const std::string& id) const;
    // Jobs with tasks on machines whose user may have been told, by this controller or a former
    // one, that they are cancelled.
    std::set<std::string> jobs_to_end() const { return dispatch_.jobs_to_end(); }
    // Whether its acceptance here met a record that was there before.
    bool found(const std::string& id) const;
    // Marks a job as cancelled; its record is written next. False: it is done already or unknown.
    bool cancel(const std::string& id, TimePoint now) { return pipelines_.cancel(id, now); }
    // A write found in the state service that the job is over, or was accepted elsewhere before.
    void over_by_record(const std::string& id, Final final, TimePoint now) {
        pipelines_.over_by_record(id, final, now);
    }
    void found_elsewhere(const JobRecord& record, std::uint64_t stamp, TimePoint now) {
        pipelines_.found_elsewhere(record, stamp, now);
    }

    // Workers.
    ReportAnswer report(const Report& report, TimePoint now);
    // Direct calls that are due now; each is settled by `called`.
    std::vector<DirectCall> direct_calls(TimePoint now, bool may_start = true);
    // `answer` is the worker's report, if there was one.
    void called(const DirectCall& call, CallOutcome outcome, const Report* answer, TimePoint now);

    // Placing, called once a cycle and when something frees up.
    void cycle(TimePoint now);

    // Renting.
    RentPlan plan_renting(TimePoint now);
    void rented(const RentRequest& request, const std::vector<std::string>& names, TimePoint now);
    // The cloud has answered: these machines are gone.
    void released(const std::vector<std::string>& names);
    // The cloud's whole list, asked for at `asked`.
    void listed(const std::vector<ListedMachine>& machines, TimePoint asked, TimePoint now);

    // Writing. Urgent changes first; done-sets wait for company.
    std::vector<Change> changes(std::size_t most_operations, TimePoint now) const;
    // They are about to be written. Returns the jobs whose final state is sent for the first time;
    // until it is known what became of that, no other state of theirs is told.
    std::vector<std::string> sent(const std::vector<Change>& changes);
    void not_executed(const std::vector<std::string>& finals);
    void written(const std::vector<Change>& changes, std::uint64_t stamp, TimePoint now);
    void restamp(Change::What what, const std::string& id, std::uint64_t stamp);
    // While a former controller may still tell users what it knew (app/membership).
    void hold_finals_until(TimePoint until) { changes_.hold_finals_until(until); }

    // For tests and logs.
    std::size_t unconfirmed() const { return fleet_.unconfirmed(); }
    const std::map<std::string, Machine>& machines() const { return fleet_.all(); }
    const Pipelines::Jobs& jobs() const { return pipelines_.all(); }
    const DispatchCounts& counts() const { return dispatch_.counts(); }
    std::vector<StartStory> take_started() { return dispatch_.take_started(); }

  private:
    // In the order of what refers to what.
    const Config config_;
    const std::uint64_t epoch_;
    Catalog catalog_;
    Fleet fleet_;
    Pipelines pipelines_;
    Estimates estimates_;
    Ledger ledger_;
    Dispatch dispatch_;
    Preemption preemption_;
    Placing placing_;
    Renting renting_;
    PendingChanges changes_;
};

}  // namespace bendspindle::core
