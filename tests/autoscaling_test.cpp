// Scaling plans of a core that is called directly, and the packing that they are made from.
#include <gtest/gtest.h>

#include "core/autoscaling/bin_packing.hpp"
#include "standin/one_machine.hpp"

namespace bendspindle::core {
namespace {

class AutoscalingTest : public standin::OneMachine {
  protected:
    // Returns a heartbeat of m1, which runs a task of job-1.
    static Heartbeat heartbeat(std::uint64_t sequence) {
        auto out = empty_heartbeat(term, 1, sequence);
        out.tasks = {{"job-1", 0, 5, TaskState::running, ExitCause::none, false}};
        return out;
    }
    void accept(const std::string& id) {
        JobSpec spec;
        spec.id = id;
        spec.team = "red";
        spec.need = {2, 0, 1};
        ASSERT_TRUE(controller_.accept(spec, {}, start));
        controller_.mark_committed(controller_.due_writes(8, start), 5, start);
    }
};

// Guards against left_waiting: nothing is placed beside a task whose needs are unknown because the
// record of its job cannot be read, but its machine counted as room.
TEST_F(AutoscalingTest, AMachineWithAQuarantinedTaskIsNoRoom) {
    controller_.quarantine("job-1");
    controller_.heartbeat(heartbeat(1), start);
    accept("job-2");
    controller_.cycle(start);
    ASSERT_EQ(controller_.jobs().begin()->second->idle_count(), 1U);
    EXPECT_EQ(controller_.plan_scaling(start).scale_out.size(), 1U);
}

// A machine without any task that was placed by this leader looked idle, and was released with the
// task that it ran.
TEST_F(AutoscalingTest, AMachineWithAQuarantinedTaskIsKept) {
    controller_.quarantine("job-1");
    for (std::uint64_t sequence = 1; sequence < 100; ++sequence) {
        const auto now = later(start, Seconds(static_cast<double>(sequence) * 2));
        controller_.heartbeat(heartbeat(sequence), now);
        controller_.cycle(now);
        EXPECT_TRUE(controller_.plan_scaling(now).release.empty()) << sequence;
    }
}

// Two machines of 8 CPUs in zone a; the cloud has machines in zone b only.
class BinPackingTest : public testing::Test {
  protected:
    BinPackingTest() {
        config_.zones = {"a", "b"};
        MachineType type;
        type.name = "g8";
        type.size = {8, 0, 64};
        type.zones = config_.zones;
        catalog_.set({type});
        packing_.add_pool({"g8", "a", false}, 0, true);
        packing_.add_pool({"g8", "b", false}, 0, false);
        packing_.add(first_);
        packing_.add(second_);
    }
    static Machine machine(const std::string& name) {
        Machine out;
        out.identity = {name, {}, 0, true, "g8", "a", false};
        return out;
    }
    static JobSpec one_zone_gang(std::uint32_t tasks) {
        JobSpec out;
        out.kind = Kind::gang;
        out.tasks = tasks;
        out.need = {6, 0, 1};
        out.one_zone = true;
        return out;
    }
    std::uint32_t machines_to_scale_out() const {
        std::uint32_t out = 0;
        for (const auto& pool : packing_.pools()) out += pool.to_scale_out;
        return out;
    }

    Config config_;
    MachineCatalog catalog_;
    const Machine first_ = machine("m1");
    const Machine second_ = machine("m2");
    BinPacking packing_{config_, catalog_};
};

TEST_F(BinPackingTest, AOneZoneGangUsesTheMachinesOfAZoneWithoutCapacity) {
    const auto spec = one_zone_gang(2);
    packing_.pack({&spec, spec.tasks, false, 0});
    EXPECT_EQ(machines_to_scale_out(), 0U);
    EXPECT_EQ(packing_.used_machines(), (std::set<std::string>{"m1", "m2"}));
}

// Guards against left_waiting: the third machine was asked for where the cloud had none.
TEST_F(BinPackingTest, AOneZoneGangLeavesAZoneWithoutCapacityThatIsTooSmall) {
    const auto spec = one_zone_gang(3);
    packing_.pack({&spec, spec.tasks, false, 0});
    EXPECT_EQ(machines_to_scale_out(), 3U);
    EXPECT_TRUE(packing_.used_machines().empty());
}

TEST_F(BinPackingTest, OneTaskJobsWithOneZoneNeedNotShareAZone) {
    const auto spec = one_zone_gang(1);
    packing_.pack({&spec, 3, true, 0});
    EXPECT_EQ(machines_to_scale_out(), 1U);
    EXPECT_EQ(packing_.used_machines(), (std::set<std::string>{"m1", "m2"}));
}

// Idle machines were released, and others scaled out elsewhere, for tasks of jobs yet to come.
TEST_F(BinPackingTest, AForecastKeepsTheMachinesOfAZoneWithoutCapacity) {
    const auto spec = one_zone_gang(3);
    packing_.pack({&spec, spec.tasks, true, 0});
    EXPECT_EQ(packing_.used_machines(), (std::set<std::string>{"m1", "m2"}));
}

// The limit of a zone follows the number of forecast tasks, not that of one job.
TEST_F(BinPackingTest, AForecastOfSpreadGangsFillsItsZonesEvenly) {
    auto spec = one_zone_gang(2);
    spec.one_zone = false;
    spec.spread = true;
    packing_.pack({&spec, 4, true, 0});
    EXPECT_EQ(machines_to_scale_out(), 2U);
    EXPECT_EQ(packing_.used_machines(), (std::set<std::string>{"m1", "m2"}));
}

}  // namespace
}  // namespace bendspindle::core
