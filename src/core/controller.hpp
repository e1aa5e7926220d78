// The state of the acting controller: home of the open pipelines, keeper of the machines and
// steward of renting. Deterministic: everything it learns is passed in, with the time.
//
// Safety stands on confirmations (docs/design.md, "Placing anew"):
//  - the token is the epoch of the view; a machine is *confirmed* once a report of its own shows
//    this token, and from then on its task list is the truth;
//  - starts travel only in answers to reports, which a worker executes before its next report or
//    never, so the next report tells what became of a start;
//  - a task is idle again only when a confirmed report shows it gone or its machine is proven gone.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/dsmf.hpp"
#include "core/job.hpp"
#include "core/types.hpp"

namespace bendspindle::core {

struct Config {
    std::string name;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    WorkerTimes workers;
    Objectives objectives;
    Seconds cycle{2};
    // Idle machines are returned after this, when the learned demand does not want them.
    Seconds idle_return{15};
    // A machine that is deleted is paid for this long in any case.
    Seconds least_paid{60};
    // Standard deviations of learned demand that are kept ready beyond its mean.
    double headroom = 1.0;
    // Demand is averaged over about this long.
    Seconds demand_memory{60};
};

// A placement on a machine, with a short way to it: a machine's list is walked far more often
// than it changes. Both live as long as the entry (`Controller::drop` removes them together).
struct HeldTask {
    Job* job = nullptr;
    Placement* placement = nullptr;
};

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

    bool durable = false;    // recorded in the state service: starts may be ordered
    bool confirmed = false;  // a report of its own has shown this epoch's token
    bool reported = false;   // any report in this epoch
    bool releasing = false;
    bool failing = false;  // tasks of several jobs failed on it
    std::uint64_t stamp = 0;
    std::uint64_t session = 0;
    std::uint64_t seq = 0;
    TimePoint first_seen{};
    TimePoint last_report{};
    TimePoint idle_since{};
    TimePoint loaded_at{};
    std::optional<TimePoint> unwanted_since;  // planning has had no use for it
    bool closing = false;                     // gets no more tasks, and is returned when empty
    std::optional<TimePoint> taken_at;  // spot notice: when the cloud takes it
    std::vector<ReportedTask> tasks;    // of the last report
    std::map<std::pair<std::uint64_t, std::uint32_t>, HeldTask> held;  // by job serial, task
    Resources strays;  // of tasks in the last report that are no placement of ours
    std::vector<CachedImage> images;  // most recently used last
    std::set<std::string> failed_jobs;
    bool call_out = false;  // one direct call at a time
    TimePoint last_call{};
    // Attempts whose direct start was never answered: a late copy may still arrive, and would
    // start them again if the worker had been told to forget them.
    std::set<std::pair<std::string, std::uint64_t>> unanswered;

    bool draining() const { return releasing || failing || taken_at.has_value(); }
};

// Orders that go to a worker's own address instead of waiting for its next report. Without
// orders it raises the worker's token and brings its report back.
struct DirectCall {
    std::string machine;
    std::string address;
    std::uint64_t token = 0;
    std::uint64_t session = 0;
    std::vector<Order> orders;
};
enum class CallOutcome : std::uint8_t { executed, rejected, unknown };

struct JobStatus {
    Final final = Final::none;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
};

struct ReportAnswer {
    bool entitled = true;  // false: the worker knows a newer token than this controller
    std::uint64_t token = 0;
    std::vector<Order> orders;
};

// A record to be written. `version` and `stamp` come back with the outcome.
struct Change {
    enum class What : std::uint8_t { put_job, finish_job, put_machine, drop_machine };
    What what = What::put_job;
    std::string id;
    std::uint64_t version = 0;
    std::uint64_t stamp = 0;
    JobRecord job;
    ListedMachine machine;
};

struct RentPlan {
    std::vector<RentRequest> rent;
    std::vector<std::string> release;
};

enum class Verdict : std::uint8_t { fits, never_fits, not_ready };

// Whether a job could ever run.
Verdict judge(const JobSpec& spec, const std::vector<Team>& teams,
              const std::vector<MachineType>& types);

class Controller {
  public:
    Controller(Config config, std::uint64_t epoch);

    std::uint64_t epoch() const { return epoch_; }
    const Config& config() const { return config_; }

    // Taking over: what the state service holds.
    void set_types(std::vector<MachineType> types);
    bool types_known() const { return !types_.empty(); }
    void load_job(const JobRecord& record, std::uint64_t stamp, TimePoint now);
    void load_machine(const ListedMachine& record, std::uint64_t stamp, TimePoint now);

    // A job that another controller has accepted in this epoch. False: it was known already.
    bool learn(const JobRecord& record, std::uint64_t stamp, TimePoint now);

    // Users.
    Verdict check(const JobSpec& spec) const;
    bool knows(const std::string& id) const { return by_id_.contains(id); }
    // False: the id was known already.
    bool accept(const JobSpec& spec, WallTime submitted, TimePoint now);
    std::optional<JobStatus> status(const std::string& id) const;
    bool durable(const std::string& id) const;
    // Whether its acceptance here met a record that was there before.
    bool found(const std::string& id) const;
    // Marks a job as cancelled; its record is written next. False: it is done already or unknown.
    bool cancel(const std::string& id, TimePoint now);
    // The write of a job's first record found that the job exists or was over already.
    void withdraw(const std::string& id);
    void restamp(Change::What what, const std::string& id, std::uint64_t stamp);

    // Workers.
    ReportAnswer report(const Report& report, TimePoint now);

    // Direct calls that are due now; each is settled by `called`.
    std::vector<DirectCall> direct_calls(TimePoint now);
    // `report` is the worker's answer, if there was one.
    void called(const DirectCall& call, CallOutcome outcome, const Report* report, TimePoint now);

    // Placing, called once a cycle and when something frees up.
    void cycle(TimePoint now);

    // Renting.
    RentPlan plan_renting(TimePoint now);
    void rented(const RentRequest& request, const std::vector<std::string>& names, TimePoint now);
    void released(const std::vector<std::string>& names, TimePoint now);
    void listed(const std::vector<ListedMachine>& machines, TimePoint now);

    // Writing. Urgent changes first; done-sets wait for company.
    std::vector<Change> changes(std::size_t most_operations, TimePoint now) const;
    void written(const std::vector<Change>& changes, std::uint64_t stamp, TimePoint now);

    // For tests and logs.
    const std::map<std::string, Machine>& machines() const { return machines_; }
    const std::map<std::uint64_t, std::unique_ptr<Job>>& jobs() const { return jobs_; }
    struct Counts {
        std::uint64_t starts = 0, preempted = 0, lost = 0, errors = 0, refused_starts = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    struct ClassStats {
        JobSpec typical;
        double ratio = 1;  // actual over estimated run time
        std::uint32_t samples = 0;
        double mean = 0;  // of tasks wanted at once
        bool seen = false;
        TimePoint last{};
        Seconds gap{0};  // between arrivals of its jobs
        TimePoint last_arrival{};
        std::uint32_t arrivals = 0;
        double recent = 0;  // arrivals of late, the older the less
        double tasks = 0;   // of a job, on average
        Seconds run{0};     // of a task by its owner, on average
    };
    // What a class asks for now, in tasks.
    struct Demand {
        double wanted = 0;
        double waiting = 0;
    };
    struct PoolKey {
        std::string type, zone;
        bool spot;
        auto operator<=>(const PoolKey&) const = default;
    };

    Job* find(const std::string& id);
    const Job* find(const std::string& id) const;
    Job& add_job(std::unique_ptr<Job> job);
    void forget_job(Job& job);
    void note_arrival(const JobSpec& spec, TimePoint now);
    Machine& machine_for(const Report& report, TimePoint now);
    // How a task list came: as a report, or as the answer to a direct call between two reports.
    enum class Source : std::uint8_t { report, direct_answer };
    void reconcile(Machine& machine, const Report& report, Source source, TimePoint now,
                   std::vector<Order>& orders);
    void task_exited(Machine& machine, Job& job, const ReportedTask& task, TimePoint now);
    void gang_broken(Job& job, std::uint64_t attempt, TimePoint now);
    void hold(Machine& machine, Job& job, std::uint32_t index, const Placement& placement);
    void drop(Job& job, std::uint32_t index);
    void lose(Machine& machine, TimePoint now);
    void note_image(Machine& machine, const Job& job);
    void note_run(Job& job, Seconds ran);
    void stop_ready(Machine& machine, TimePoint now, std::vector<Order>& orders);
    void repeat_stop(const Order& order);
    void start_ready(Machine& machine, TimePoint now, bool direct, std::vector<Order>& orders);
    void observe(Machine& machine, const Report& report, TimePoint now);
    Resources used(const Machine& machine) const;
    bool usable(const Machine& machine, TimePoint now) const;
    bool allowed(const JobSpec& spec, const Machine& machine) const;
    bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone,
                 bool spot) const;
    // Whether machines of a type are rented for such work, among those that it is allowed on.
    bool suits(const JobSpec& spec, const MachineType& type) const;
    // Could this job have tasks on machines that are not confirmed yet?
    bool in_doubt(const Job& job) const;
    Seconds expected_run(const Job& job) const;
    Seconds remaining(const Job& job, const Placement& placement, TimePoint now) const;
    void changed(Job& job, TimePoint now);
    void finish(Job& job, Final final, TimePoint now);
    void stop(Job& job, Placement& placement, Seconds grace);
    void stop_for_drain(Machine& machine, TimePoint now);

    // placing.cpp
    struct Standing {
        std::map<std::string, Resources> team_use;
        std::unordered_set<std::uint64_t> guaranteed;  // serials of jobs within the guarantee
    };
    Standing standing() const;
    int rank_of(const Job& job, const Standing& standing) const;
    void unbind_all(TimePoint now);
    std::uint32_t room_in_limit(const Job& job, const Standing& standing) const;
    dsmf::Machine view_of(const Machine& machine, TimePoint now) const;
    void bind(Job& job, std::uint32_t index, Machine& machine, std::uint64_t attempt, int rank,
              Seconds makespan, Seconds rpm, TimePoint now);
    void preempt(const std::vector<Job*>& waiting, Standing& standing, TimePoint now);
    void watch_machines(TimePoint now);

    // renting.cpp
    std::uint32_t wanted(const Job& job, TimePoint now) const;
    Seconds boot_of(const JobSpec& spec) const;
    double headroom_for(const ClassStats& stats) const;
    // How much longer a waiting job may wait for a machine to free up, by its class's aim.
    Seconds patience(const Job& job, TimePoint now) const;
    double still_coming(const ClassStats& stats, TimePoint now) const;
    std::uint32_t wanted_typical(const ClassStats& stats) const;
    void learn_demand(const std::map<std::string, Demand>& demand, TimePoint now);
    double forecast(const ClassStats& stats, const Demand& demand) const;

    Config config_;
    std::uint64_t epoch_ = 0;
    std::uint64_t next_attempt_ = 0;
    std::uint64_t next_serial_ = 0;
    std::uint64_t next_request_ = 0;
    std::vector<MachineType> types_;
    std::unordered_map<std::string, std::size_t> type_index_;
    std::map<std::uint64_t, std::unique_ptr<Job>> jobs_;  // by serial: order of acceptance
    std::unordered_map<std::string, Job*> by_id_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, std::uint64_t> dropping_;  // gone machines whose record is to go
    std::set<std::string> gone_;
    std::deque<std::string> gone_order_;
    std::map<std::string, ClassStats> classes_;
    std::optional<TimePoint> acting_since_;
    TimePoint counted_until_{};
    Seconds counted_{0};  // how long arrivals have been counted, the older time the less
    std::map<PoolKey, TimePoint> no_capacity_until_;
    std::map<std::string, Seconds> boot_seen_;
    Counts counts_;
};

}  // namespace bendspindle::core
