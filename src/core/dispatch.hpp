// Between the jobs' placements and the workers: what reports say is taken over into placements,
// and what placements ask for goes out as orders, with answers to reports or in direct calls. The
// place where messages of workers enter; what each part does is in its own module.
//
// Starts travel in answers to reports, which a worker executes before its next report or never, or
// in direct calls, which may arrive minutes late.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/catalog.hpp"
#include "core/config.hpp"
#include "core/direct_calls.hpp"
#include "core/dispatch_counts.hpp"
#include "core/estimates.hpp"
#include "core/failures.hpp"
#include "core/fleet.hpp"
#include "core/orders.hpp"
#include "core/pipelines.hpp"
#include "core/reconciliation.hpp"
#include "core/start_stories.hpp"

namespace bendspindle::core {

struct ReportAnswer {
    bool entitled = true;  // false: the worker knows a newer token than this controller
    std::uint64_t token = 0;
    std::vector<Order> orders;
};

class Dispatch {
  public:
    Dispatch(const Config& config, const Catalog& catalog, Fleet& fleet, Pipelines& pipelines,
             Estimates& estimates, std::uint64_t epoch);
    // Its parts refer to each other.
    Dispatch(const Dispatch&) = delete;
    Dispatch& operator=(const Dispatch&) = delete;

    ReportAnswer report(const Report& report, TimePoint now);
    // Direct calls that are due now; each is settled by `called`.
    std::vector<DirectCall> direct_calls(TimePoint now, bool may_start) {
        return direct_calls_.due(now, may_start);
    }
    // `answer` is the worker's report, if there was one.
    void called(const DirectCall& call, CallOutcome outcome, const Report* answer, TimePoint now);
    // What must leave machines that are taken, returned or failing.
    void drain(TimePoint now) { orders_.drain(now); }
    // The release of a machine was answered.
    void released(const std::string& name);
    // Jobs that are over, as far as they are known, with tasks on machines by the books or by the
    // last report: whoever renews the leases of these machines has to stop them.
    std::set<std::string> jobs_to_end() const { return orders_.jobs_to_end(); }
    const DispatchCounts& counts() const { return counts_; }
    // Jobs that have started since the last call.
    std::vector<StartStory> take_started() { return starts_.take(); }

  private:
    Fleet& fleet_;
    Pipelines& pipelines_;
    const std::uint64_t epoch_;
    // In the order of what refers to what.
    DispatchCounts counts_;
    StartStories starts_;
    Failures failures_;
    Orders orders_;
    DirectCalls direct_calls_;
    Reconciliation reconciliation_;
};

}  // namespace bendspindle::core
