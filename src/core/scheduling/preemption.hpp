// Makes room for waiting jobs by stopping tasks that they may stop: whom, where, and at what cost.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/cluster/job_table.hpp"
#include "core/cluster/machine_catalog.hpp"
#include "core/cluster/machine_inventory.hpp"
#include "core/config.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/resources.hpp"
#include "core/model/time.hpp"
#include "core/scheduling/quota_accounting.hpp"
#include "core/scheduling/runtime_estimates.hpp"

namespace bendspindle::core {

// What decides who may stop whom. The names are the job's own.
struct Claim {
    Priority priority = Priority::low;
    bool guaranteed = false;
    bool owed = false;           // waits too long already for what its team is guaranteed
    bool floored = false;        // fills the floor of a class or team that starves
    bool class_shelter = false;  // runs within its class's floor
    bool team_shelter = false;
    std::string_view team;
    std::string_view job_class;

    bool may_stop(const Claim& other) const;
    auto operator<=>(const Claim&) const = default;
};

struct Victim {
    Job* job = nullptr;
    std::uint32_t index = 0;
    double cost = 0;
};

// Room for one task on one machine, and who is to be stopped for it; nobody, if it is free.
struct RoomPlan {
    Machine* machine = nullptr;
    std::vector<Victim> victims;
    double cost = 0;
};

// One job's search for room. Plans that it has handed out are taken as carried out by the next.
class RoomSearch {
  public:
    RoomSearch(const Job& job, const QuotaSnapshot& quota, const MachineCatalog& catalog,
               const MachineInventory& inventory, const std::vector<Machine*>& candidates,
               TimePoint now);
    // The cheapest plans for up to `want` tasks, in one zone or anywhere. Forgets earlier ones.
    std::vector<RoomPlan> plans(const std::optional<std::string>& zone, std::uint32_t want);
    // Of a job whose tasks must be in one zone: where most of them find room, at the least cost.
    std::vector<RoomPlan> plans_in_best_zone(const std::vector<std::string>& zones,
                                             std::uint32_t want);

  private:
    std::optional<RoomPlan> plan_on(Machine& machine) const;
    std::vector<Victim> victims_on(const Machine& machine) const;
    double cost_of_stopping(const Job& other, const Assignment& assignment) const;
    double cost_of_fetching(const Machine& machine) const;
    void take(const RoomPlan& plan);

    const Job& job_;
    const QuotaSnapshot& standing_;
    const MachineCatalog& catalog_;
    const MachineInventory& inventory_;
    const std::vector<Machine*>& candidates_;
    const TimePoint now_;
    const Claim claim_;
    std::set<TaskKey> spoken_for_;
    std::map<const Machine*, Resources> planned_;
};

class Preemption {
  public:
    Preemption(const Config& config, const MachineCatalog& catalog, MachineInventory& inventory,
               JobTable& job_table, const RuntimeEstimates& estimates)
        : config_(config),
          catalog_(catalog),
          inventory_(inventory),
          job_table_(job_table),
          estimates_(estimates) {}

    // `waiting` in the order of DSMF: what it could not bind. `reserved`: machines that are kept
    // for gangs under a floor; only work under a floor makes room there.
    void make_room(const std::vector<Job*>& waiting, const std::set<const Machine*>& reserved,
                   QuotaSnapshot& quota, TimePoint now);

  private:
    std::vector<RoomPlan> plans_for(const Job& job, const QuotaSnapshot& quota,
                                    const std::vector<Machine*>& candidates, TimePoint now) const;
    void carry_out(Job& job, const std::vector<RoomPlan>& plans, QuotaSnapshot& quota,
                   TimePoint now);

    const Config& config_;
    const MachineCatalog& catalog_;
    MachineInventory& inventory_;
    JobTable& job_table_;
    const RuntimeEstimates& estimates_;
};

}  // namespace bendspindle::core
