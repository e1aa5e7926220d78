// Scaling plans of a core that is called directly.
#include <gtest/gtest.h>

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

}  // namespace
}  // namespace bendspindle::core
