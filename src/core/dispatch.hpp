// Between the jobs' placements and the workers: what reports say is taken over into placements,
// and what placements ask for goes out as orders, with answers to reports or in direct calls.
//
// Starts travel in answers to reports, which a worker executes before its next report or never, or
// in direct calls, which may arrive minutes late. A task is idle again only when a confirmed
// report shows it gone or its machine is proven gone (docs/design.md, "Placing anew").
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/catalog.hpp"
#include "core/config.hpp"
#include "core/estimates.hpp"
#include "core/fleet.hpp"
#include "core/pipelines.hpp"

namespace bendspindle::core {

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

struct ReportAnswer {
    bool entitled = true;  // false: the worker knows a newer token than this controller
    std::uint64_t token = 0;
    std::vector<Order> orders;
};

// What the time from a job's acceptance here to its start went into, for logs and measurements: of
// a gang the latest of its tasks, of an array the first.
struct StartStory {
    std::string job;
    std::string job_class;
    std::string team;
    std::uint32_t tasks = 0;
    bool stopped_others = false;
    Seconds record{0};  // until the job was durable
    Seconds room{0};    // until room was found, or others were told to make it
    Seconds saves{0};   // until those had saved and gone
    Seconds report{0};  // until the machine told of the task
    Seconds image{0};   // until it ran: its image, and the others of its gang
    Seconds total() const { return record + room + saves + report + image; }
};

struct DispatchCounts {
    std::uint64_t starts = 0, lost = 0, errors = 0, refused_starts = 0;
};

class Dispatch {
  public:
    Dispatch(const Config& config, const Catalog& catalog, Fleet& fleet, Pipelines& pipelines,
             Estimates& estimates, std::uint64_t epoch)
        : config_(config),
          catalog_(catalog),
          fleet_(fleet),
          pipelines_(pipelines),
          estimates_(estimates),
          epoch_(epoch) {}

    ReportAnswer report(const Report& report, TimePoint now);
    // Direct calls that are due now; each is settled by `called`.
    std::vector<DirectCall> direct_calls(TimePoint now, bool may_start);
    // `answer` is the worker's report, if there was one.
    void called(const DirectCall& call, CallOutcome outcome, const Report* answer, TimePoint now);
    // What must leave machines that are taken, returned or failing.
    void drain(TimePoint now);
    // The release of a machine was answered.
    void released(const std::string& name);
    const DispatchCounts& counts() const { return counts_; }
    // Jobs that have started since the last call.
    std::vector<StartStory> take_started() { return std::exchange(started_, {}); }

  private:
    // How a task list came: as a report, or as the answer to a direct call between two reports.
    enum class Source : std::uint8_t { report, direct_answer };
    using Seen = std::set<HeldKey>;

    bool nothing_new(const Machine& machine, const Report& report) const;
    // Adds the stops of what is there of jobs that are cancelled, or over and forgotten.
    void stop_cancelled(const Report& report, std::vector<Order>& orders) const;
    void reconcile(Machine& machine, const Report& report, Source source, TimePoint now,
                   std::vector<Order>& orders);
    void take_over_task(Machine& machine, const ReportedTask& task, TimePoint now, Seen& seen,
                        std::vector<Order>& orders);
    void take_over_exit(Machine& machine, Job& job, const ReportedTask& task, TimePoint now,
                        std::vector<Order>& orders);
    void adopt(Machine& machine, Job& job, const ReportedTask& task, TimePoint now);
    void settle_absent(Machine& machine, const std::vector<HeldKey>& held, const Report& report,
                       Source source, const Seen& seen, TimePoint now, std::vector<Order>& orders);
    void note_start(Job& job, TimePoint now);
    void count_strays(Machine& machine) const;
    void task_exited(Machine& machine, Job& job, const ReportedTask& task, TimePoint now);
    void task_failed(Machine& machine, Job& job, TimePoint ordered_at, TimePoint now);
    void weigh(const Job& job, double weight);
    void clear_job(Job& job);
    static void judge(Machine& machine);
    void settle_start(Machine& machine, const Order& order, const DirectCall& call,
                      CallOutcome outcome, const Report* answer);
    void repeat_stop(const Order& order);
    void drain(Machine& machine, TimePoint now);
    void unbind(Machine& machine);
    void stop_ready(Machine& machine, TimePoint now, std::vector<Order>& orders) const;
    void start_ready(Machine& machine, TimePoint now, bool direct, std::vector<Order>& orders);

    const Config& config_;
    const Catalog& catalog_;
    Fleet& fleet_;
    Pipelines& pipelines_;
    Estimates& estimates_;
    const std::uint64_t epoch_;
    DispatchCounts counts_;
    std::vector<StartStory> started_;
};

}  // namespace bendspindle::core
